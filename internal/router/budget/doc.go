// Package budget bounds extra attempts, such as retries and hedges, to a share
// of the requests sent.
//
// A budget earns a share of a token with each first attempt and spends a whole
// one on each extra attempt. A pool that fails altogether therefore sees its
// load rise by no more than the share, however many callers wait.
package budget
