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

// callerTimeout is how long a caller may leave a token unread before it counts as gone.
const callerTimeout = 30 * time.Second

// chat serves a chat completion.
func (ent *Entry) chat(vis *visit) (err error) {
	bdy, err := vis.readBody()
	if err != nil {
		return err
	}
	vis.pool, err = vis.state.modelPool(bdy)
	if err != nil {
		return err
	}
	cht := runner.Chat{
		ID:        vis.id,
		Workspace: vis.workspace.Name,
		Class:     vis.class,
		Pool:      vis.pool,
		Body:      bdy,
		Arrived:   vis.arrived,
	}
	if !cht.Stream() {
		return ent.whole(vis, cht)
	}
	return ent.stream(vis, cht)
}

// modelPool checks the shape of a chat request and returns the pool of its model.
func (sta *state) modelPool(bdy []byte) (pol router.Pool, err error) {
	if !gjson.ValidBytes(bdy) || !gjson.ParseBytes(bdy).IsObject() {
		return router.Pool{}, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "the body is not a JSON object")
	}
	mss := gjson.GetBytes(bdy, "messages")
	if !mss.IsArray() || len(mss.Array()) == 0 {
		return router.Pool{}, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "messages must be a list with at least one message")
	}
	mod := gjson.GetBytes(bdy, "model").String()
	pol, fnd := sta.models[mod]
	if !fnd {
		return router.Pool{}, router.Refuse(http.StatusNotFound, router.CodeModel, "model %q is not served here", mod)
	}
	return pol, nil
}

func (ent *Entry) whole(vis *visit, cht runner.Chat) (err error) {
	ans, err := ent.options.Runner.Whole(vis.request.Context(), cht)
	if err != nil {
		return err
	}
	vis.observed.Tokens = int(gjson.GetBytes(ans.Body, "usage.completion_tokens").Int())
	ent.writeAnswer(vis, ans)
	return nil
}

func (ent *Entry) stream(vis *visit, cht runner.Chat) (err error) {
	snk := &stream{visit: vis, timers: ent.options.Timers, control: http.NewResponseController(vis.writer)}
	err = ent.options.Runner.Chat(vis.request.Context(), cht, snk)
	var srv *runner.Served
	if errors.As(err, &srv) {
		ent.writeAnswer(vis, srv.Answer)
		return nil
	}
	if err != nil {
		return err
	}
	return snk.end()
}

// stream is a runner.Sink that writes server-sent events.
type stream struct {
	visit   *visit
	timers  router.Timers
	control *http.ResponseController
	last    time.Time
	buffer  []byte
}

// Begin sends the response's header.
func (stm *stream) Begin(upstream string) error {
	hdr := stm.visit.writer.Header()
	hdr.Set("Content-Type", "text/event-stream")
	hdr.Set("Cache-Control", "no-store")
	hdr.Set(router.HeaderOutcome, string(router.Ran))
	hdr.Set(router.HeaderUpstream, upstream)
	stm.visit.begun = true
	stm.visit.observed.Outcome, stm.visit.observed.Status = router.Ran, http.StatusOK
	return nil
}

// Event sends one event and notes the gap before it.
func (stm *stream) Event(data string) error {
	stm.observe()
	return stm.write(data)
}

func (stm *stream) observe() {
	now := stm.timers.Now()
	obs := &stm.visit.observed
	if stm.last.IsZero() {
		obs.FirstToken = now.Sub(stm.visit.arrived)
	} else if tgt := stm.visit.class.BetweenTokens; tgt > 0 && now.Sub(stm.last) > tgt {
		obs.LateTokens++
	}
	stm.last = now
	obs.Tokens++
}

func (stm *stream) write(data string) (err error) {
	stm.buffer = append(append(append(stm.buffer[:0], "data: "...), data...), "\n\n"...)
	if err := stm.control.SetWriteDeadline(time.Now().Add(callerTimeout)); err != nil {
		return err
	}
	if _, err := stm.visit.writer.Write(stm.buffer); err != nil {
		return err
	}
	return stm.control.Flush()
}

func (stm *stream) end() error {
	return stm.write("[DONE]")
}

// failEvent ends a stream that failed midway.
func (vis *visit) failEvent(ref *router.Refusal) {
	raw, err := json.Marshal(envelope(ref))
	if err != nil {
		return
	}
	stm := &stream{visit: vis, control: http.NewResponseController(vis.writer)}
	_ = stm.write(string(raw))
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

// models lists the models.
func (ent *Entry) models(vis *visit) (err error) {
	lst := modelList{Object: "list", Data: []modelEntry{}}
	for mod, pol := range vis.state.models {
		lst.Data = append(lst.Data, modelEntry{ID: mod, Object: "model", OwnedBy: pol.Name})
	}
	sort.Slice(lst.Data, func(one, two int) bool { return lst.Data[one].ID < lst.Data[two].ID })
	bdy, err := json.Marshal(lst)
	if err != nil {
		return err
	}
	hdr := http.Header{"Content-Type": {"application/json"}}
	ent.writeAnswer(vis, &router.Answer{Status: http.StatusOK, Header: hdr, Body: bdy})
	return nil
}
