package runner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Whole carries an unstreamed chat request and returns the upstream's whole reply.
//
// A request whose answer is one text is run as a stream and collected, so that
// its progress is seen and it can be recalled and resumed; others are run as
// they are.
func (run *Runner) Whole(ctx context.Context, cht Chat) (ans *router.Answer, err error) {
	if !cht.single() {
		return run.plain(ctx, cht)
	}
	col := &collector{}
	err = run.Chat(ctx, cht, col)
	var srv *Served
	if errors.As(err, &srv) {
		return srv.Answer, nil
	}
	if err != nil {
		return nil, err
	}
	return col.answer()
}

// plain runs an unstreamed request whose answer cannot be collected from a stream.
func (run *Runner) plain(ctx context.Context, cht Chat) (ans *router.Answer, err error) {
	run.earn(cht.Workspace, cht.Pool.Name)
	cal, err := cht.call("", 0, 1, false)
	if err != nil {
		return nil, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "%v", err)
	}
	return run.repeat(ctx, router.SlotRequest{
		RequestID: cht.ID,
		Workspace: cht.Workspace,
		Class:     cht.Class,
		Pool:      cht.Pool.Name,
		Affinity:  cht.affinity(),
		Arrived:   cht.Arrived,
	}, cal)
}

// collector is a Sink that makes a whole completion from the events of a stream.
type collector struct {
	upstream string
	first    string
	finish   string
	usage    json.RawMessage
	text     strings.Builder
}

// Begin notes the upstream.
func (col *collector) Begin(upstream string) error {
	col.upstream = upstream
	return nil
}

// Event adds one event to the answer.
func (col *collector) Event(data string) error {
	if col.first == "" {
		col.first = data
	}
	col.text.WriteString(gjson.Get(data, "choices.0.delta.content").String())
	if fin := gjson.Get(data, "choices.0.finish_reason"); fin.Type == gjson.String {
		col.finish = fin.String()
	}
	if use := gjson.Get(data, "usage"); use.IsObject() {
		col.usage = json.RawMessage(use.Raw)
	}
	return nil
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index   int               `json:"index"`
	Message completionMessage `json:"message"`
	Finish  string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (col *collector) answer() (ans *router.Answer, err error) {
	bdy, err := json.Marshal(completion{
		ID:      gjson.Get(col.first, "id").String(),
		Object:  "chat.completion",
		Created: gjson.Get(col.first, "created").Int(),
		Model:   gjson.Get(col.first, "model").String(),
		Choices: []completionChoice{{
			Message: completionMessage{Role: "assistant", Content: col.text.String()},
			Finish:  col.finish,
		}},
		Usage: col.usage,
	})
	if err != nil {
		return nil, err
	}
	hdr := http.Header{"Content-Type": {"application/json"}}
	return &router.Answer{Status: http.StatusOK, Header: hdr, Body: bdy, Upstream: col.upstream}, nil
}

// readWhole reads a reply to its end, or fails when it is cut or larger than the limit in bytes.
func readWhole(bdy io.Reader, limit int) (raw []byte, err error) {
	raw, err = io.ReadAll(io.LimitReader(bdy, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > limit {
		return nil, errors.Errorf("answer is larger than %d bytes", limit)
	}
	return raw, nil
}
