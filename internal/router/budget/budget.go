package budget

import "sync"

// DefaultMaxTokens is the default maximum number of tokens in a budget.
const DefaultMaxTokens = 10.0

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

// Registry holds one budget for each name, such as a service.
type Registry struct {
	mut       sync.Mutex
	maxTokens float64
	budgets   map[string]*Budget
}

// NewRegistry returns an empty Registry. Its budgets start full and hold at most maxTokens.
func NewRegistry(maxTokens float64) *Registry {
	return &Registry{maxTokens: maxTokens, budgets: make(map[string]*Budget)}
}

// SetMaxTokens changes the maximum of all budgets, present and future.
func (reg *Registry) SetMaxTokens(maxTokens float64) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	reg.maxTokens = maxTokens
	for _, bud := range reg.budgets {
		bud.setMaxTokens(maxTokens)
	}
}

// Get returns the budget of a name; it creates a full one on first use.
func (reg *Registry) Get(name string) *Budget {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	bud := reg.budgets[name]
	if bud == nil {
		bud = &Budget{maxTokens: reg.maxTokens, tokens: reg.maxTokens}
		reg.budgets[name] = bud
	}
	return bud
}

func (bud *Budget) setMaxTokens(maxTokens float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.maxTokens = maxTokens
	bud.tokens = min(bud.tokens, maxTokens)
}
