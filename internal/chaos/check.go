package chaos

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// OrderResult counts the responses to orders and lists the violations that CheckOrders found.
type OrderResult struct {
	// Ran, NotRun, Unknown and NoAnswer count attempts by what the client received.
	Orders, Attempts, Ran, NotRun, Unknown, NoAnswer int
	// Unresolved counts the orders with no attempt answered Ran and at least one answered Unknown or not at all.
	Unresolved int
	// Duplicated lists the keys of orders that were executed more than once.
	Duplicated []string
	// FalseNotRun lists the order keys of attempts that were answered NotRun but executed.
	FalseNotRun []string
	// WrongAnswer lists the keys of orders that got the answer of another order.
	WrongAnswer []string
	// FalseRan lists the keys of orders that were answered Ran but never executed.
	FalseRan []string
}

// OK reports whether there is no violation.
func (rsl OrderResult) OK() bool {
	return len(rsl.Duplicated)+len(rsl.FalseNotRun)+len(rsl.WrongAnswer)+len(rsl.FalseRan) == 0
}

// String returns the counts in one line.
func (rsl OrderResult) String() string {
	return fmt.Sprintf("%d orders in %d sendings: %d Ran, %d NotRun, %d Unknown, %d without an answer; "+
		"%d orders left unknown; executed twice %d, misled %d, wrong answers %d, answered and not executed %d",
		rsl.Orders, rsl.Attempts, rsl.Ran, rsl.NotRun, rsl.Unknown, rsl.NoAnswer, rsl.Unresolved,
		len(rsl.Duplicated), len(rsl.FalseNotRun), len(rsl.WrongAnswer), len(rsl.FalseRan))
}

// CheckOrders compares the responses to orders with the executions in the services' journals, which are
// grouped by idempotency key.
func CheckOrders(rss []Response, exs map[string][]fakes.Execution) (rsl OrderResult) {
	byRequest := make(map[string]bool)
	for key, lst := range exs {
		if key != "" && len(lst) > 1 {
			rsl.Duplicated = append(rsl.Duplicated, key)
		}
		for _, exe := range lst {
			byRequest[exe.Request] = true
		}
	}
	ran, unknown := make(map[string]bool), make(map[string]bool)
	for _, rsp := range rss {
		rsl.Attempts++
		rsl.addResponse(rsp, exs[rsp.Key], byRequest[rsp.RequestID])
		ran[rsp.Key] = ran[rsp.Key] || rsp.Outcome == router.Ran
		unknown[rsp.Key] = unknown[rsp.Key] || rsp.NoAnswer || rsp.Outcome == router.Unknown
	}
	rsl.Orders = len(ran)
	for key := range ran {
		if unknown[key] && !ran[key] {
			rsl.Unresolved++
		}
	}
	return rsl
}

// addResponse counts a response. exs are the executions of its order, and executed states whether one of them
// was of this attempt.
func (rsl *OrderResult) addResponse(rsp Response, exs []fakes.Execution, executed bool) {
	switch {
	case rsp.NoAnswer:
		rsl.NoAnswer++
	case rsp.Outcome == router.Ran:
		rsl.Ran++
		if len(exs) == 0 {
			rsl.FalseRan = append(rsl.FalseRan, rsp.Key)
		}
		if !strings.Contains(rsp.Body, orderDigest(rsp.Key)) {
			rsl.WrongAnswer = append(rsl.WrongAnswer, rsp.Key)
		}
	case rsp.Outcome == router.NotRun:
		rsl.NotRun++
		if executed {
			rsl.FalseNotRun = append(rsl.FalseNotRun, rsp.Key)
		}
	default:
		rsl.Unknown++
	}
}

// orderDigest returns the digest of an order's body, which the service includes in its answer.
func orderDigest(key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, `{"Order":%q}`, key))
	return hex.EncodeToString(sum[:])
}
