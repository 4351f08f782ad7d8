package budget

import "sync"

// Reserve is the number of tokens that budgets keep at most where nothing else is said.
const Reserve = 10.0

// Budget is a store of tokens for extra attempts.
type Budget struct {
	mut     sync.Mutex
	reserve float64
	tokens  float64
}

// Can reports whether there is a token to spend.
func (bud *Budget) Can() bool {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	return bud.tokens >= 1
}

// Earn adds the share, from 0 to 1, for one first attempt.
func (bud *Budget) Earn(share float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.tokens = min(bud.reserve, bud.tokens+share)
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
	reserve float64
	budgets map[string]*Budget
}

// NewBook returns an empty book whose budgets start with the reserve and keep it at most.
func NewBook(reserve float64) *Book {
	return &Book{reserve: reserve, budgets: make(map[string]*Budget)}
}

// Resize changes the reserve of all budgets.
func (bok *Book) Resize(reserve float64) {
	bok.mut.Lock()
	defer bok.mut.Unlock()
	bok.reserve = reserve
	for _, bud := range bok.budgets {
		bud.resize(reserve)
	}
}

// Of returns the budget of a name.
func (bok *Book) Of(name string) *Budget {
	bok.mut.Lock()
	defer bok.mut.Unlock()
	bud := bok.budgets[name]
	if bud == nil {
		bud = &Budget{reserve: bok.reserve, tokens: bok.reserve}
		bok.budgets[name] = bud
	}
	return bud
}

func (bud *Budget) resize(reserve float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.reserve = reserve
	bud.tokens = min(bud.tokens, reserve)
}
