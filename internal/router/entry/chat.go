package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/runner"
)

// writeTimeout is how long one write of an event to the caller may take before the caller counts as
// disconnected.
const writeTimeout = 30 * time.Second

// serveChat serves a chat completion, as a stream or as one answer.
func (api *API) serveChat(exc *exchange) (err error) {
	bdy, err := exc.readBody()
	if err != nil {
		return err
	}
	exc.pool, err = exc.index.modelPool(bdy)
	if err != nil {
		return err
	}
	cht := runner.Chat{
		ID:        exc.id,
		Workspace: exc.workspace.Name,
		Class:     exc.class,
		Pool:      exc.pool,
		Body:      bdy,
		Arrived:   exc.arrived,
	}
	if !cht.Stream() {
		return api.answerChat(exc, cht)
	}
	return api.streamChat(exc, cht)
}

// modelPool validates the outline of a chat request and returns the pool that serves its model.
func (idx *configIndex) modelPool(bdy []byte) (pol router.Pool, err error) {
	if !gjson.ValidBytes(bdy) || !gjson.ParseBytes(bdy).IsObject() {
		return router.Pool{}, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "the body is not a JSON object")
	}
	mss := gjson.GetBytes(bdy, "messages")
	if !mss.IsArray() || len(mss.Array()) == 0 {
		return router.Pool{}, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "messages must be a list with at least one message")
	}
	mod := gjson.GetBytes(bdy, "model").String()
	pol, fnd := idx.models[mod]
	if !fnd {
		return router.Pool{}, router.Refuse(http.StatusNotFound, router.CodeModel, "model %q is not served here", mod)
	}
	return pol, nil
}

func (api *API) answerChat(exc *exchange, cht runner.Chat) (err error) {
	ans, err := api.options.Runner.CollectChat(exc.request.Context(), cht)
	if err != nil {
		return err
	}
	exc.observed.Tokens = int(gjson.GetBytes(ans.Body, "usage.completion_tokens").Int())
	api.writeAnswer(exc, ans)
	return nil
}

func (api *API) streamChat(exc *exchange, cht runner.Chat) (err error) {
	snk := &eventStream{exchange: exc, timers: api.options.Timers, control: http.NewResponseController(exc.writer)}
	err = api.options.Runner.StreamChat(exc.request.Context(), cht, snk)
	var upe *runner.UpstreamError
	if errors.As(err, &upe) {
		api.writeAnswer(exc, upe.Answer)
		return nil
	}
	if err != nil {
		return err
	}
	return snk.writeDone()
}

// eventStream is a runner.Sink that writes server-sent events to the caller.
type eventStream struct {
	exchange  *exchange
	timers    router.Timers
	control   *http.ResponseController
	lastEvent time.Time
	buffer    []byte
}

// Begin sets the response header, which is sent with the first event.
func (evs *eventStream) Begin(upstream string) error {
	hdr := evs.exchange.writer.Header()
	hdr.Set("Content-Type", "text/event-stream")
	hdr.Set("Cache-Control", "no-store")
	hdr.Set(router.HeaderOutcome, string(router.Ran))
	hdr.Set(router.HeaderUpstream, upstream)
	evs.exchange.streaming = true
	evs.exchange.observed.Outcome, evs.exchange.observed.Status = router.Ran, http.StatusOK
	return nil
}

// Event writes one event and records its latency.
func (evs *eventStream) Event(data string) error {
	evs.observe()
	return evs.write(data)
}

func (evs *eventStream) observe() {
	now := evs.timers.Now()
	obs := &evs.exchange.observed
	if evs.lastEvent.IsZero() {
		obs.FirstToken = now.Sub(evs.exchange.arrived)
	} else if tgt := evs.exchange.class.BetweenTokens; tgt > 0 && now.Sub(evs.lastEvent) > tgt {
		obs.LateTokens++
	}
	evs.lastEvent = now
	obs.Tokens++
}

func (evs *eventStream) write(data string) (err error) {
	evs.buffer = append(append(append(evs.buffer[:0], "data: "...), data...), "\n\n"...)
	if err := evs.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := evs.exchange.writer.Write(evs.buffer); err != nil {
		return err
	}
	return evs.control.Flush()
}

func (evs *eventStream) writeDone() error {
	return evs.write("[DONE]")
}

// writeErrorEvent ends a stream that failed midway with an error event.
func (exc *exchange) writeErrorEvent(ref *router.Refusal) {
	raw, err := json.Marshal(newErrorBody(ref))
	if err != nil {
		return
	}
	evs := &eventStream{exchange: exc, control: http.NewResponseController(exc.writer)}
	_ = evs.write(string(raw))
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models of all pools, ordered by ID.
func (api *API) serveModels(exc *exchange) (err error) {
	lst := modelList{Object: "list", Data: []modelEntry{}}
	for mod, pol := range exc.index.models {
		lst.Data = append(lst.Data, modelEntry{ID: mod, Object: "model", OwnedBy: pol.Name})
	}
	sort.Slice(lst.Data, func(one, two int) bool { return lst.Data[one].ID < lst.Data[two].ID })
	bdy, err := json.Marshal(lst)
	if err != nil {
		return err
	}
	hdr := http.Header{"Content-Type": {"application/json"}}
	api.writeAnswer(exc, &router.Answer{Status: http.StatusOK, Header: hdr, Body: bdy})
	return nil
}
