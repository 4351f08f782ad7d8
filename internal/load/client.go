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

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Sample is the measurement of one request. Start and End are relative to the start of the run.
type Sample struct {
	Class string
	Start time.Duration
	// Status is the HTTP status; 0 if no answer arrived.
	Status int
	// Outcome is from the answer's header or, if the stream failed, from its error event.
	Outcome router.Outcome
	// FirstToken is the time from sending the request to the first token; 0 if there was none.
	FirstToken time.Duration
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	// LateGaps is the number of gaps that exceeded the class's BetweenTokens target.
	LateGaps int
	Tokens   int
	// Ended is set if the stream ended with the [DONE] event.
	Ended bool
	// Correct is set if Ended is set and the text is the one that the prompt must produce.
	Correct bool
	// End is when the answer ended, completely or not.
	End time.Duration
}

// maxLateShare is the largest share of late gaps with which a request still meets its target.
const maxLateShare = 0.05

// Met reports whether the answer was correct and met the targets of its class.
func (smp Sample) Met(cls router.Class) bool {
	return smp.Correct && smp.FirstToken <= cls.FirstToken && float64(smp.LateGaps) <= maxLateShare*float64(smp.Tokens)
}

// caller is the HTTP client of one workspace.
type caller struct {
	client    *http.Client
	key       string
	model     string
	startTime time.Time
	// windowTokens and windowStarts count the tokens and the first tokens that arrived within window. The window is the
	// second half of the scenario, when a load that rises has reached its peak.
	windowTokens, windowStarts atomic.Int64
	window                     [2]time.Duration
}

// request sends one request to a node, reads the streamed answer and compares it with the expected one.
func (cal *caller) request(ctx context.Context, url string, cls router.Class, prompt string) (smp Sample) {
	smp = Sample{Class: cls.Name, Start: time.Since(cal.startTime)}
	defer func() { smp.End = time.Since(cal.startTime) }()
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
	smp.readStream(res, cls, fakes.ExpectedAnswer(fakes.RenderPrompt(prompt)), cal)
	return smp
}

// readStream reads the event stream until its end, a reported error or a broken connection.
func (smp *Sample) readStream(res *http.Response, cls router.Class, want string, cal *caller) {
	var got bytes.Buffer
	last := cal.startTime.Add(smp.Start)
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
			smp.Correct = got.String() == want
			return
		}
		con := gjson.Get(evt.Data, "choices.0.delta.content").String()
		if con == "" {
			continue
		}
		got.WriteString(con)
		smp.addToken(cls, time.Since(last))
		last = time.Now()
		cal.countInWindow(last, smp.Tokens)
	}
}

// addToken records a token that arrived gap after the previous one, or after the request if it is the first.
func (smp *Sample) addToken(cls router.Class, gap time.Duration) {
	smp.Tokens++
	if smp.Tokens == 1 {
		smp.FirstToken = gap
		return
	}
	smp.LongestGap = max(smp.LongestGap, gap)
	if cls.BetweenTokens > 0 && gap > cls.BetweenTokens {
		smp.LateGaps++
	}
}

// countInWindow counts the num-th token of an answer if it arrived within the window.
func (cal *caller) countInWindow(now time.Time, num int) {
	if at := now.Sub(cal.startTime); at < cal.window[0] || at > cal.window[1] {
		return
	}
	cal.windowTokens.Add(1)
	if num == 1 {
		cal.windowStarts.Add(1)
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

// uniquePrompt returns a prompt that makes the engine generate a number of tokens. It is unique, so that an answer
// to another request is detected.
func uniquePrompt(seed uint64, num, tokens int) string {
	return fmt.Sprintf("tokens=%d request %d of run %d", tokens, num, seed)
}
