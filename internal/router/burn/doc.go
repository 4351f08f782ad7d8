// Package burn measures the burn rate of the error budgets of classes.
//
// A class has a latency target and an objective, which is the share of requests
// that must meet the target. The error budget is the share that may miss it. The
// burn rate of a window is the share of missed requests divided by the error
// budget: at 1 the budget is used up exactly at the end of the objective's
// period, at 14.4 the budget of a month is used up in two days. The windows are 5
// minutes, 30 minutes, 1 hour and 6 hours; a short and a long window together
// distinguish a short surge from a lasting fault.
//
// Each node counts its own requests by class and workspace in buckets of one
// minute. Reports of several nodes are merged by adding their counts. Nodes that
// did not answer are listed in the merged report, so that their share of the
// requests is not silently left out.
package burn
