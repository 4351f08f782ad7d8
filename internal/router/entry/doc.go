// Package entry serves the product's API to callers, which is compatible with the OpenAI API.
//
// It serves requests that are addressed to pools: chat completions and the list of models, and the
// operations of plain HTTP services under /services/. (Package edge serves requests that match
// routes.) The bearer key of a request authenticates it and names its workspace, and the
// Hornbeamdyke-Class header selects one of the workspace's classes. If the rate and concurrency
// limits of the workspace admit the request, package runner sends it to an upstream.
//
// Every response of these operations has a Hornbeamdyke-Outcome header, which states whether an
// upstream executed the request. Errors have the JSON body of the OpenAI API. A stream that fails
// midway, when the header has been sent already, ends with an error event that carries the outcome.
package entry
