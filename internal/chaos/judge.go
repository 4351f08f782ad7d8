package chaos

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

// Verdict is what the judge found.
type Verdict struct {
	Orders, Sendings, Ran, NotRun, Unknown, Cut int
	// Open counts the orders of whose sendings none was told Ran and some Unknown.
	Open int
	// Twice names orders that were executed more than once.
	Twice []string
	// Misled names sendings that were told NotRun and were executed.
	Misled []string
	// Wrong names sendings whose answer belongs to another order.
	Wrong []string
	// Ghosts names orders that were answered as Ran and never executed.
	Ghosts []string
}

// Holds reports whether every promise about orders was kept.
func (ver Verdict) Holds() bool {
	return len(ver.Twice)+len(ver.Misled)+len(ver.Wrong)+len(ver.Ghosts) == 0
}

// String returns one line.
func (ver Verdict) String() string {
	return fmt.Sprintf("%d orders in %d sendings: %d Ran, %d NotRun, %d Unknown, %d without an answer; "+
		"%d orders left unknown; executed twice %d, misled %d, wrong answers %d, answered and not executed %d",
		ver.Orders, ver.Sendings, ver.Ran, ver.NotRun, ver.Unknown, ver.Cut, ver.Open,
		len(ver.Twice), len(ver.Misled), len(ver.Wrong), len(ver.Ghosts))
}

// Judge compares what callers were told with what the services executed.
func Judge(tld []Told, exs map[string][]stand.Execution) (ver Verdict) {
	byRequest := make(map[string]bool)
	for key, lst := range exs {
		if key != "" && len(lst) > 1 {
			ver.Twice = append(ver.Twice, key)
		}
		for _, exe := range lst {
			byRequest[exe.Request] = true
		}
	}
	ran, unknown := make(map[string]bool), make(map[string]bool)
	for _, one := range tld {
		ver.Sendings++
		ver.add(one, exs[one.Key], byRequest[one.Request])
		ran[one.Key] = ran[one.Key] || one.Outcome == router.Ran
		unknown[one.Key] = unknown[one.Key] || one.Cut || one.Outcome == router.Unknown
	}
	ver.Orders = len(ran)
	for key := range ran {
		if unknown[key] && !ran[key] {
			ver.Open++
		}
	}
	return ver
}

func (ver *Verdict) add(tld Told, exs []stand.Execution, executed bool) {
	switch {
	case tld.Cut:
		ver.Cut++
	case tld.Outcome == router.Ran:
		ver.Ran++
		if len(exs) == 0 {
			ver.Ghosts = append(ver.Ghosts, tld.Key)
		}
		if !strings.Contains(tld.Body, digestOf(tld.Key)) {
			ver.Wrong = append(ver.Wrong, tld.Key)
		}
	case tld.Outcome == router.NotRun:
		ver.NotRun++
		if executed {
			ver.Misled = append(ver.Misled, tld.Key)
		}
	default:
		ver.Unknown++
	}
}

func digestOf(key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, `{"Order":%q}`, key))
	return hex.EncodeToString(sum[:])
}
