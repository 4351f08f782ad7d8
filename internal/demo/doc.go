// Package demo shows the whole path of a deployment: it starts one, sends a
// streamed answer, a draft and an order through three nodes, repeats the order
// through another, and checks every promise that these touch.
package demo
