// Package action implements the subcommands of the command line that change a running cluster: it
// applies configurations and drains nodes through the admin API.
package action
