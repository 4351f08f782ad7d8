package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// CollectChat runs a chat request for a caller that did not request a stream.
//
// If the answer is a single text, the request is sent as a stream whose events
// are collected, so that stalls are detected and the request can be recalled and
// resumed. Other requests are forwarded without streaming.
func (run *Runner) CollectChat(ctx context.Context, cht Chat) (ans *router.Answer, err error) {
	if !cht.textOnly() {
		return run.forwardChat(ctx, cht)
	}
	col := &collector{limit: run.options.Live.Get().Limits.AnswerBytes}
	err = run.StreamChat(ctx, cht, col)
	if col.exceeded {
		return nil, router.RefuseUnknown(router.CodeUpstream, "upstream %s failed: answer is larger than %d bytes", col.upstream, col.limit)
	}
	var upe *UpstreamError
	if errors.As(err, &upe) {
		return upe.Answer, nil
	}
	if err != nil {
		return nil, err
	}
	return col.answer()
}

// forwardChat sends a chat request whose answer cannot be collected from a stream, without streaming.
func (run *Runner) forwardChat(ctx context.Context, cht Chat) (ans *router.Answer, err error) {
	run.creditBudgets(cht.Workspace, cht.Pool.Name)
	cal, err := cht.upstreamCall("", 0, 1, false)
	if err != nil {
		return nil, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "%v", err)
	}
	return run.sendWithRetries(ctx, router.SlotRequest{
		RequestID: cht.ID,
		Workspace: cht.Workspace,
		Class:     cht.Class,
		Pool:      cht.Pool.Name,
		Affinity:  cht.affinity(),
		Arrived:   cht.Arrived,
	}, cal)
}

// collector is a Sink that builds a chat completion from the events of a stream.
type collector struct {
	// limit bounds the text in bytes; exceeded is set when it was reached.
	limit    int
	exceeded bool

	upstream     string
	firstEvent   string
	finishReason string
	usage        json.RawMessage
	text         strings.Builder
}

// Begin stores the name of the upstream.
func (col *collector) Begin(upstream string) error {
	col.upstream = upstream
	return nil
}

// errAnswerTooLarge ends a chat whose answer exceeds the limit.
var errAnswerTooLarge = errors.New("answer is too large")

// Event adds one event to the answer.
func (col *collector) Event(data string) error {
	if col.firstEvent == "" {
		col.firstEvent = data
	}
	content := gjson.Get(data, "choices.0.delta.content").String()
	if col.text.Len()+len(content) > col.limit {
		col.exceeded = true
		return errAnswerTooLarge
	}
	col.text.WriteString(content)
	if fin := gjson.Get(data, "choices.0.finish_reason"); fin.Type == gjson.String {
		col.finishReason = fin.String()
	}
	if use := gjson.Get(data, "usage"); use.IsObject() {
		col.usage = json.RawMessage(use.Raw)
	}
	return nil
}

// completion is the body of an unstreamed chat completion.
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
		ID:      gjson.Get(col.firstEvent, "id").String(),
		Object:  "chat.completion",
		Created: gjson.Get(col.firstEvent, "created").Int(),
		Model:   gjson.Get(col.firstEvent, "model").String(),
		Choices: []completionChoice{{
			Message: completionMessage{Role: "assistant", Content: col.text.String()},
			Finish:  col.finishReason,
		}},
		Usage: col.usage,
	})
	if err != nil {
		return nil, err
	}
	hdr := http.Header{"Content-Type": {"application/json"}}
	return &router.Answer{Status: http.StatusOK, Header: hdr, Body: bdy, Upstream: col.upstream}, nil
}
