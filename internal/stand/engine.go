package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// EngineOptions are the size and speed of an Engine.
type EngineOptions struct {
	// Slots is how many requests generate at once; others wait by priority.
	Slots int
	// Gap is the time from token to token.
	Gap time.Duration
	// Prefill is the time before the first token.
	Prefill time.Duration
	// CrashOn ends the process when a prompt contains it; empty never does.
	CrashOn string
}

// Engine is a stand-in for a model engine with the chat-completions API.
type Engine struct {
	options   EngineOptions
	faults    *Switch
	seats     *seats
	generated atomic.Int64
	finished  atomic.Int64
	cancelled atomic.Int64
}

// NewEngine returns an Engine.
func NewEngine(opt EngineOptions, swt *Switch) *Engine {
	return &Engine{options: opt, faults: swt, seats: &seats{free: opt.Slots}}
}

// Handler serves the API, the load metrics and the counts.
func (eng *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", eng.complete)
	mux.HandleFunc("GET /metrics", eng.metrics)
	return eng.faults.Wrap(mux)
}

type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Priority int    `json:"priority"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Continue      bool `json:"continue_final_message"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// split returns the prompt and the number of tokens that the last message has already.
func (chr chatRequest) split() (prompt string, done int) {
	mss := chr.Messages
	if chr.Continue && len(mss) > 0 {
		done = len(strings.Fields(mss[len(mss)-1].Content))
		mss = mss[:len(mss)-1]
	}
	var bld strings.Builder
	for _, msg := range mss {
		bld.WriteString(msg.Role + ":" + msg.Content + "\n")
	}
	return bld.String(), done
}

// Prompt returns what an Engine makes its tokens from for a single user message.
func Prompt(content string) string {
	return "user:" + content + "\n"
}

func (eng *Engine) complete(wri http.ResponseWriter, req *http.Request) {
	var chr chatRequest
	if err := json.NewDecoder(req.Body).Decode(&chr); err != nil || len(chr.Messages) == 0 {
		wri.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(wri, `{"error":{"message":"invalid body","type":"invalid_request_error","code":"invalid_request"}}`)
		return
	}
	prompt, done := chr.split()
	if eng.options.CrashOn != "" && strings.Contains(prompt, eng.options.CrashOn) {
		os.Exit(1)
	}
	ans := &answer{engine: eng, writer: wri, request: chr, prompt: prompt, done: done}
	if !eng.seats.take(req.Context(), chr.Priority) {
		eng.cancelled.Add(1)
		return
	}
	defer eng.seats.give()
	if !ans.generate(req.Context()) {
		eng.cancelled.Add(1)
		return
	}
	ans.end()
	eng.finished.Add(1)
}

func (eng *Engine) metrics(wri http.ResponseWriter, req *http.Request) {
	run, wai := eng.seats.load(eng.options.Slots)
	pause(req.Context(), time.Duration(eng.faults.Faults().LagMs)*time.Millisecond)
	fmt.Fprintf(wri, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", run)
	fmt.Fprintf(wri, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", wai)
	fmt.Fprintf(wri, "# TYPE vllm:generation_tokens_total counter\nvllm:generation_tokens_total %d\n", eng.generated.Load())
	fmt.Fprintf(wri, "# TYPE hbstand_finished_total counter\nhbstand_finished_total %d\n", eng.finished.Load())
	fmt.Fprintf(wri, "# TYPE hbstand_cancelled_total counter\nhbstand_cancelled_total %d\n", eng.cancelled.Load())
}

// answer is one reply as it is generated.
type answer struct {
	engine  *Engine
	writer  http.ResponseWriter
	request chatRequest
	prompt  string
	done    int
	text    strings.Builder
}

// generate makes the tokens that are missing, and reports whether the caller stayed.
func (ans *answer) generate(ctx context.Context) bool {
	eng := ans.engine
	pause(ctx, eng.faults.Stretch(eng.options.Prefill))
	if ans.request.Stream {
		ans.begin()
	}
	end := TokenCount(ans.prompt)
	for idx := ans.done; idx < end; idx++ {
		if eng.faults.Silent(ctx) {
			<-ctx.Done()
		}
		if ctx.Err() != nil {
			return false
		}
		eng.generated.Add(1)
		ans.token(Token(ans.prompt, idx))
		if idx+1 < end {
			pause(ctx, eng.faults.Stretch(eng.options.Gap))
		}
	}
	return ctx.Err() == nil
}

func (ans *answer) token(tok string) {
	if !ans.request.Stream {
		ans.text.WriteString(tok)
		return
	}
	ans.event(`"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]`, tok)
}

func (ans *answer) begin() {
	ans.writer.Header().Set("Content-Type", "text/event-stream")
	ans.event(`"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]`)
}

func (ans *answer) end() {
	num := TokenCount(ans.prompt) - ans.done
	use := fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		len(ans.prompt)/4, num, len(ans.prompt)/4+num)
	if !ans.request.Stream {
		ans.writer.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(ans.writer, `{%s,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],%s}`,
			ans.head(), ans.text.String(), use)
		return
	}
	ans.event(`"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]`)
	if ans.request.StreamOptions.IncludeUsage {
		ans.event(`"choices":[],%s`, use)
	}
	fmt.Fprint(ans.writer, "data: [DONE]\n\n")
	ans.flush()
}

func (ans *answer) event(format string, args ...any) {
	fmt.Fprintf(ans.writer, `data: {%s,"object":"chat.completion.chunk",`+format+"}\n\n", append([]any{ans.head()}, args...)...)
	ans.flush()
}

func (ans *answer) head() string {
	return fmt.Sprintf(`"id":"cmpl-%p","created":%d,"model":%q`, ans, time.Now().Unix(), ans.request.Model)
}

func (ans *answer) flush() {
	if flu, can := ans.writer.(http.Flusher); can {
		flu.Flush()
	}
}

// seats hands out an engine's slots by priority, then by arrival.
type seats struct {
	mut   sync.Mutex
	free  int
	queue []*seat
}

type seat struct {
	priority int
	ready    chan struct{}
}

// take waits for a slot and reports whether the caller stayed to get it.
func (sts *seats) take(ctx context.Context, priority int) bool {
	one := &seat{priority: priority, ready: make(chan struct{})}
	sts.mut.Lock()
	at := sort.Search(len(sts.queue), func(idx int) bool { return sts.queue[idx].priority > priority })
	sts.queue = slices.Insert(sts.queue, at, one)
	sts.serve()
	sts.mut.Unlock()
	select {
	case <-one.ready:
		return true
	case <-ctx.Done():
	}
	sts.mut.Lock()
	defer sts.mut.Unlock()
	if at := slices.Index(sts.queue, one); at >= 0 {
		sts.queue = slices.Delete(sts.queue, at, at+1)
		return false
	}
	sts.free++
	sts.serve()
	return false
}

func (sts *seats) give() {
	sts.mut.Lock()
	defer sts.mut.Unlock()
	sts.free++
	sts.serve()
}

// serve gives free slots to the first in the queue.
func (sts *seats) serve() {
	for sts.free > 0 && len(sts.queue) > 0 {
		sts.free--
		close(sts.queue[0].ready)
		sts.queue = sts.queue[1:]
	}
}

func (sts *seats) load(slots int) (running, waiting int) {
	sts.mut.Lock()
	defer sts.mut.Unlock()
	return slots - sts.free, len(sts.queue)
}
