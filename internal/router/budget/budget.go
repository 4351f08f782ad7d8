package budget

import "sync"

// reserve is the number of tokens that a budget starts with and keeps at most.
const reserve = 10.0

// Budget is a store of tokens for extra attempts.
type Budget struct {
	mut    sync.Mutex
	tokens float64
}

// Earn adds the share, from 0 to 1, for one first attempt.
func (bud *Budget) Earn(share float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.tokens = min(reserve, bud.tokens+share)
}

// Spend takes one token and reports whether there was one.
func (bud *Budget) Spend() (spent bool) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	if bud.tokens < 1 {
		return false
	}
	bud.tokens--
	return true
}

// Book holds a budget for each name.
type Book struct {
	mut     sync.Mutex
	budgets map[string]*Budget
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{budgets: make(map[string]*Budget)}
}

// Of returns the budget of a name.
func (bok *Book) Of(name string) *Budget {
	bok.mut.Lock()
	defer bok.mut.Unlock()
	bud := bok.budgets[name]
	if bud == nil {
		bud = &Budget{tokens: reserve}
		bok.budgets[name] = bud
	}
	return bud
}
