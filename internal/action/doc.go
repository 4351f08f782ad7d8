// Package action holds what the command line changes: it applies
// configurations and drains nodes, through the operators' API.
package action
