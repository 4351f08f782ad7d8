package soak_test

import (
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/soak"
)

// TestIsCorrect guards against a check that accepts usage reports with wrong counts, or rejects those within the tolerance.
func TestIsCorrect(t *testing.T) {
	cases := map[string]struct {
		counts     map[string]int64
		executions int
		want       bool
	}{
		"exact":             {map[string]int64{"soak": 200}, 200, true},
		"within the share":  {map[string]int64{"soak": 190}, 200, true},
		"below the share":   {map[string]int64{"soak": 189}, 200, false},
		"above the share":   {map[string]int64{"soak": 211}, 200, false},
		"within the slack":  {map[string]int64{"soak": 13}, 10, true},
		"above the slack":   {map[string]int64{"soak": 14}, 10, false},
		"no counts":         {map[string]int64{}, 200, false},
		"no executions":     {map[string]int64{}, 0, false},
		"another workspace": {map[string]int64{"soak": 200, "odd": 1}, 200, false},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			if got := soak.IsCorrect(cas.counts, cas.executions); got != cas.want {
				t.Errorf("got %v for %v with %d executions", got, cas.counts, cas.executions)
			}
		})
	}
}
