// Package demo shows how requests pass through an example deployment. It starts one, sends a streamed chat
// completion, one that is not streamed and an order (a request that must run at most once) through three
// nodes, repeats the order through a fourth, and checks the outcomes and answers.
package demo
