package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

// Sample is what one caller saw.
type Sample struct {
	Class   string
	Start   time.Duration
	Status  int
	Outcome router.Outcome
	// FirstToken is the time to the first token; zero when there was none.
	FirstToken time.Duration
	// LongestGap is the longest time between tokens.
	LongestGap time.Duration
	Late       int
	Tokens     int
	// Ended is set when the answer was marked as ended.
	Ended bool
	// Whole is set when the answer is exactly the one that the prompt must produce.
	Whole bool
	// Done is when the answer ended.
	Done time.Duration
}

// lateShare is the share of late gaps from which a request misses its target.
const lateShare = 0.05

// Met reports whether the caller got its whole answer within the class's target.
func (smp Sample) Met(cls router.Class) bool {
	return smp.Whole && smp.FirstToken <= cls.FirstToken && float64(smp.Late) <= lateShare*float64(smp.Tokens)
}

// caller sends requests for one workspace.
type caller struct {
	client *http.Client
	key    string
	model  string
	begin  time.Time
	// tokens and starts count what arrived in the second half of the scenario, when a crest is at its height.
	tokens, starts atomic.Int64
	window         [2]time.Duration
}

// ask streams one answer from a node and compares it with what it must be.
func (cal *caller) ask(ctx context.Context, url string, cls router.Class, prompt string) (smp Sample) {
	smp = Sample{Class: cls.Name, Start: time.Since(cal.begin)}
	defer func() { smp.Done = time.Since(cal.begin) }()
	res, err := cal.post(ctx, url, cls, prompt)
	if err != nil {
		return smp
	}
	defer res.Body.Close()
	smp.Status = res.StatusCode
	smp.Outcome = router.Outcome(res.Header.Get(router.HeaderOutcome))
	if res.StatusCode != http.StatusOK {
		return smp
	}
	smp.read(res, cls, stand.ExpectedAnswer(stand.RenderPrompt(prompt)), cal)
	return smp
}

func (smp *Sample) read(res *http.Response, cls router.Class, want string, cal *caller) {
	var got bytes.Buffer
	last := cal.begin.Add(smp.Start)
	for evt, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return
		}
		if out := gjson.Get(evt.Data, "error.hornbeamdyke_outcome"); out.Exists() {
			smp.Outcome = router.Outcome(out.String())
			return
		}
		if evt.Data == "[DONE]" {
			smp.Ended = true
			smp.Whole = got.String() == want
			return
		}
		con := gjson.Get(evt.Data, "choices.0.delta.content").String()
		if con == "" {
			continue
		}
		got.WriteString(con)
		smp.token(cls, time.Since(last))
		last = time.Now()
		cal.count(last, smp.Tokens)
	}
}

func (smp *Sample) token(cls router.Class, gap time.Duration) {
	smp.Tokens++
	if smp.Tokens == 1 {
		smp.FirstToken = gap
		return
	}
	smp.LongestGap = max(smp.LongestGap, gap)
	if cls.BetweenTokens > 0 && gap > cls.BetweenTokens {
		smp.Late++
	}
}

// count notes a token that arrived in the window.
func (cal *caller) count(now time.Time, num int) {
	if at := now.Sub(cal.begin); at < cal.window[0] || at > cal.window[1] {
		return
	}
	cal.tokens.Add(1)
	if num == 1 {
		cal.starts.Add(1)
	}
}

func (cal *caller) post(ctx context.Context, url string, cls router.Class, prompt string) (res *http.Response, err error) {
	bdy, err := json.Marshal(map[string]any{
		"model":    cal.model,
		"stream":   true,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(bdy))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+cal.key)
	req.Header.Set(router.HeaderClass, cls.Name)
	return cal.client.Do(req)
}

// prompt asks for a number of tokens and differs from all others.
func prompt(seed uint64, num, tokens int) string {
	return fmt.Sprintf("tokens=%d request %d of run %d", tokens, num, seed)
}
