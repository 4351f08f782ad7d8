// Package burn measures how fast each class uses up its error budget.
//
// A request counts as missed when it did not meet its class's target. The burn
// rate of a window is the share of missed requests divided by the share that
// the objective allows: at 1 the budget is just used up at the end of the
// objective's period, at 14.4 a month's budget is gone in two days. Windows of
// 5 minutes, 30 minutes, 1 hour and 6 hours are kept, because a short and a long
// window together tell a surge from a lasting fault.
//
// A node counts its own requests by class and workspace in one-minute buckets.
// Reports of several nodes are merged by adding counts; a node that did not
// answer is named in the merged report and never averaged away.
package burn
