// Package dynamo implements router.Table by the DynamoDB API.
//
// A row is an item with the attributes Key, Version, Value and Expires. Every
// write is conditional, on the absence of the item or on its Version, and uses
// one of two fixed condition expressions.
package dynamo
