// Package entry is the callers' API.
//
// A request is authenticated by its bearer key, which names the workspace, and
// classified by the Hornbeamdyke-Class header. It then passes the workspace's
// limits and is handed to the runner. Every response carries
// Hornbeamdyke-Outcome; errors have the envelope of the OpenAI API. A stream
// that fails midway ends with an error event that carries the outcome.
package entry
