package budget

import "sync"

// Reserve is the default maximum number of tokens in a budget.
const Reserve = 10.0

// Budget is a token bucket that is refilled by first attempts and drained by extra ones.
type Budget struct {
	mut       sync.Mutex
	maxTokens float64
	tokens    float64
}

// HasToken reports whether Spend would succeed; it takes no token.
func (bud *Budget) HasToken() bool {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	return bud.tokens >= 1
}

// Earn adds a share of a token, from 0 to 1, for one first attempt.
func (bud *Budget) Earn(share float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.tokens = min(bud.maxTokens, bud.tokens+share)
}

// Spend takes one token for an extra attempt and reports whether there was one.
func (bud *Budget) Spend() (spent bool) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	if bud.tokens < 1 {
		return false
	}
	bud.tokens--
	return true
}

// Book holds one budget for each name, such as a service.
type Book struct {
	mut       sync.Mutex
	maxTokens float64
	budgets   map[string]*Budget
}

// NewBook returns an empty Book. Its budgets start full and hold at most maxTokens.
func NewBook(maxTokens float64) *Book {
	return &Book{maxTokens: maxTokens, budgets: make(map[string]*Budget)}
}

// Resize changes the maximum of all budgets, present and future.
func (bok *Book) Resize(maxTokens float64) {
	bok.mut.Lock()
	defer bok.mut.Unlock()
	bok.maxTokens = maxTokens
	for _, bud := range bok.budgets {
		bud.setMaxTokens(maxTokens)
	}
}

// Of returns the budget of a name; it creates a full one on first use.
func (bok *Book) Of(name string) *Budget {
	bok.mut.Lock()
	defer bok.mut.Unlock()
	bud := bok.budgets[name]
	if bud == nil {
		bud = &Budget{maxTokens: bok.maxTokens, tokens: bok.maxTokens}
		bok.budgets[name] = bud
	}
	return bud
}

func (bud *Budget) setMaxTokens(maxTokens float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.maxTokens = maxTokens
	bud.tokens = min(bud.tokens, maxTokens)
}
