package fakes

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

// EngineOptions are the capacity and speed of an Engine.
type EngineOptions struct {
	// Slots is the number of requests that run at the same time; others are queued by priority.
	Slots int
	// Gap is the time between two tokens.
	Gap time.Duration
	// Prefill is the time before the first token.
	Prefill time.Duration
	// CrashOn is a text that makes the process exit when a prompt contains it; empty disables this.
	CrashOn string
}

// Engine is a fake of an LLM inference engine with the chat-completions API.
type Engine struct {
	options   EngineOptions
	faults    *Injector
	slots     *slotQueue
	generated atomic.Int64 // tokens
	finished  atomic.Int64 // requests
	cancelled atomic.Int64 // requests whose caller disconnected
}

// NewEngine returns an idle Engine.
func NewEngine(opt EngineOptions, inj *Injector) *Engine {
	return &Engine{options: opt, faults: inj, slots: &slotQueue{free: opt.Slots}}
}

// Handler serves the API, the load metrics and the counters.
func (eng *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", eng.handleCompletion)
	mux.HandleFunc("GET /metrics", eng.handleMetrics)
	return eng.faults.Wrap(mux)
}

// chatRequest is the part of a chat-completions request that the Engine reads.
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

// promptAndResumed returns the prompt and the number of tokens to skip. With
// continue_final_message, the last message is the beginning of the answer that is to be continued.
func (chr chatRequest) promptAndResumed() (prompt string, resumed int) {
	mss := chr.Messages
	if chr.Continue && len(mss) > 0 {
		resumed = len(strings.Fields(mss[len(mss)-1].Content))
		mss = mss[:len(mss)-1]
	}
	var bld strings.Builder
	for _, msg := range mss {
		bld.WriteString(msg.Role + ":" + msg.Content + "\n")
	}
	return bld.String(), resumed
}

// RenderPrompt returns the prompt, from which an Engine derives its tokens, of a request with a
// single user message.
func RenderPrompt(content string) string {
	return "user:" + content + "\n"
}

func (eng *Engine) handleCompletion(wri http.ResponseWriter, req *http.Request) {
	var chr chatRequest
	if err := json.NewDecoder(req.Body).Decode(&chr); err != nil || len(chr.Messages) == 0 {
		wri.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(wri, `{"error":{"message":"invalid body","type":"invalid_request_error","code":"invalid_request"}}`)
		return
	}
	prompt, resumed := chr.promptAndResumed()
	if eng.options.CrashOn != "" && strings.Contains(prompt, eng.options.CrashOn) {
		os.Exit(1)
	}
	ans := &answer{engine: eng, writer: wri, request: chr, prompt: prompt, resumed: resumed}
	if !eng.slots.acquire(req.Context(), chr.Priority) {
		eng.cancelled.Add(1)
		return
	}
	defer eng.slots.release()
	if !ans.generate(req.Context()) {
		eng.cancelled.Add(1)
		return
	}
	ans.writeEnd()
	eng.finished.Add(1)
}

func (eng *Engine) handleMetrics(wri http.ResponseWriter, req *http.Request) {
	run, wai := eng.slots.counts(eng.options.Slots)
	sleep(req.Context(), time.Duration(eng.faults.Faults().LagMs)*time.Millisecond)
	fmt.Fprintf(wri, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", run)
	fmt.Fprintf(wri, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", wai)
	fmt.Fprintf(wri, "# TYPE vllm:generation_tokens_total counter\nvllm:generation_tokens_total %d\n", eng.generated.Load())
	fmt.Fprintf(wri, "# TYPE hbstand_finished_total counter\nhbstand_finished_total %d\n", eng.finished.Load())
	fmt.Fprintf(wri, "# TYPE hbstand_cancelled_total counter\nhbstand_cancelled_total %d\n", eng.cancelled.Load())
}

// answer is the answer to one request while it is generated.
type answer struct {
	engine  *Engine
	writer  http.ResponseWriter
	request chatRequest
	prompt  string
	// resumed is the number of tokens that the caller has already.
	resumed int
	text    strings.Builder
}

// generate produces the remaining tokens. It returns false when the caller disconnects.
func (ans *answer) generate(ctx context.Context) bool {
	eng := ans.engine
	sleep(ctx, eng.faults.Scale(eng.options.Prefill))
	if ans.request.Stream {
		ans.writeRole()
	}
	end := TokenCount(ans.prompt)
	for idx := ans.resumed; idx < end; idx++ {
		if eng.faults.IsSilenced(ctx) {
			<-ctx.Done()
		}
		if ctx.Err() != nil {
			return false
		}
		eng.generated.Add(1)
		ans.writeToken(Token(ans.prompt, idx))
		if idx+1 < end {
			sleep(ctx, eng.faults.Scale(eng.options.Gap))
		}
	}
	return ctx.Err() == nil
}

func (ans *answer) writeToken(tok string) {
	if !ans.request.Stream {
		ans.text.WriteString(tok)
		return
	}
	ans.writeEvent(`"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]`, tok)
}

// writeRole starts a streamed answer.
func (ans *answer) writeRole() {
	ans.writer.Header().Set("Content-Type", "text/event-stream")
	ans.writeEvent(`"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]`)
}

// writeEnd completes a streamed answer, or writes an answer that is not streamed.
func (ans *answer) writeEnd() {
	num := TokenCount(ans.prompt) - ans.resumed
	use := fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		len(ans.prompt)/4, num, len(ans.prompt)/4+num)
	if !ans.request.Stream {
		ans.writer.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(ans.writer, `{%s,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],%s}`,
			ans.commonFields(), ans.text.String(), use)
		return
	}
	ans.writeEvent(`"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]`)
	if ans.request.StreamOptions.IncludeUsage {
		ans.writeEvent(`"choices":[],%s`, use)
	}
	fmt.Fprint(ans.writer, "data: [DONE]\n\n")
	ans.flush()
}

func (ans *answer) writeEvent(format string, args ...any) {
	fmt.Fprintf(ans.writer, `data: {%s,"object":"chat.completion.chunk",`+format+"}\n\n", append([]any{ans.commonFields()}, args...)...)
	ans.flush()
}

// commonFields returns the JSON fields that all answers and chunks share.
func (ans *answer) commonFields() string {
	return fmt.Sprintf(`"id":"cmpl-%p","created":%d,"model":%q`, ans, time.Now().Unix(), ans.request.Model)
}

func (ans *answer) flush() {
	if flu, can := ans.writer.(http.Flusher); can {
		flu.Flush()
	}
}

// slotQueue grants the slots of an engine by ascending priority, then by arrival.
type slotQueue struct {
	mut   sync.Mutex
	free  int
	queue []*slotWaiter
}

type slotWaiter struct {
	priority int
	ready    chan struct{}
}

// acquire waits for a slot. It returns false, without a slot, when ctx is done first.
func (slq *slotQueue) acquire(ctx context.Context, priority int) bool {
	wtr := &slotWaiter{priority: priority, ready: make(chan struct{})}
	slq.mut.Lock()
	at := sort.Search(len(slq.queue), func(idx int) bool { return slq.queue[idx].priority > priority })
	slq.queue = slices.Insert(slq.queue, at, wtr)
	slq.grant()
	slq.mut.Unlock()
	select {
	case <-wtr.ready:
		return true
	case <-ctx.Done():
	}
	slq.mut.Lock()
	defer slq.mut.Unlock()
	if at := slices.Index(slq.queue, wtr); at >= 0 {
		slq.queue = slices.Delete(slq.queue, at, at+1)
		return false
	}
	slq.free++
	slq.grant()
	return false
}

func (slq *slotQueue) release() {
	slq.mut.Lock()
	defer slq.mut.Unlock()
	slq.free++
	slq.grant()
}

// grant assigns the free slots to the first requests in the queue. The lock is held.
func (slq *slotQueue) grant() {
	for slq.free > 0 && len(slq.queue) > 0 {
		slq.free--
		close(slq.queue[0].ready)
		slq.queue = slq.queue[1:]
	}
}

// counts returns the numbers of running and queued requests.
func (slq *slotQueue) counts(slots int) (running, waiting int) {
	slq.mut.Lock()
	defer slq.mut.Unlock()
	return slots - slq.free, len(slq.queue)
}
