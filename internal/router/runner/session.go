package runner

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Sink receives the answer of a chat request. An error of its methods means that the caller is gone.
type Sink interface {
	// Begin is called once, before the first event, with the name of the upstream.
	Begin(upstream string) error
	// Event receives the data of one server-sent event.
	Event(data string) error
}

// maxResumableBytes is the length of the text up to which an answer can be continued by another upstream. A longer one is relayed but
// no longer kept.
const maxResumableBytes = 512 << 10

// noWinner is stored as the winner of a round that ended without one.
var noWinner = &attempt{}

// session is the state of one chat request across its rounds of attempts.
//
// Within a round, only the winning attempt writes to the unsynchronised fields;
// rounds follow one another.
type session struct {
	chat   Chat
	sink   Sink
	digest string
	// textOnly is set when the answer is a single text, see Chat.textOnly.
	textOnly bool
	// winner is the first attempt of the current round with an event to relay.
	winner atomic.Pointer[attempt]
	// sent is set when any upstream may have received the request.
	sent atomic.Bool
	// attempts is the number of attempts created so far, including hedges.
	attempts atomic.Int64
	// freeRetries is the number of retries that spent no budget.
	freeRetries int
	// arrived decides the place in the queue; it is the arrival of the request or of its last requeue.
	arrived time.Time
	// avoid holds the names of upstreams that failed the request.
	avoid map[string]bool
	// responseBegun is set when sink.Begin was called.
	responseBegun bool
	// text is the text that was relayed in all rounds, while another upstream can continue it; tokens is the number of events that
	// carried it.
	text   strings.Builder
	tokens int
	// textDropped is set once the text exceeds maxResumableBytes.
	textDropped atomic.Bool
	// resumedText is the text that earlier rounds relayed, of resumedTokens tokens.
	resumedText   string
	resumedTokens int
	// completionID and created come from the first relayed event and replace those of later rounds.
	completionID string
	created      int64
}

func newSession(cht Chat, snk Sink) *session {
	return &session{
		chat:     cht,
		sink:     snk,
		digest:   cht.digest(),
		textOnly: cht.textOnly(),
		arrived:  cht.Arrived,
		avoid:    make(map[string]bool),
	}
}

// resumable reports whether another attempt can be sent: nothing was relayed yet, or another upstream can
// continue the answer.
func (ses *session) resumable() bool {
	return !ses.responseBegun || ses.continuable()
}

// continuable reports whether another upstream can continue the text that was relayed.
func (ses *session) continuable() bool {
	return ses.textOnly && ses.chat.Pool.Extensions && !ses.textDropped.Load()
}

// keepText keeps relayed text for an upstream that continues it.
func (ses *session) keepText(content string) {
	switch {
	case !ses.continuable():
	case ses.text.Len()+len(content) > maxResumableBytes:
		ses.textDropped.Store(true)
		ses.text.Reset()
	default:
		ses.text.WriteString(content)
	}
}

// relay passes one event of the winning attempt to the caller.
func (ses *session) relay(ups router.Upstream, data, content string) (err error) {
	if !ses.responseBegun {
		ses.responseBegun = true
		ses.completionID = gjson.Get(data, "id").String()
		ses.created = gjson.Get(data, "created").Int()
		if err := ses.sink.Begin(ups.Name); err != nil {
			return err
		}
	}
	if ses.resumedTokens > 0 {
		data, err = ses.rewriteEvent(data)
		if err != nil {
			return err
		}
	}
	if content != "" {
		ses.keepText(content)
		ses.tokens++
	}
	return ses.sink.Event(data)
}

// rewriteEvent sets the id, the creation time and the token counts of an event of a resumed answer to those that
// it would have without the resumption.
func (ses *session) rewriteEvent(data string) (res string, err error) {
	eds := []jsonEdit{{"id", ses.completionID}, {"created", ses.created}}
	if use := gjson.Get(data, "usage"); use.IsObject() {
		eds = append(eds,
			jsonEdit{"usage.completion_tokens", use.Get("completion_tokens").Int() + int64(ses.resumedTokens)},
			jsonEdit{"usage.prompt_tokens", use.Get("prompt_tokens").Int() - int64(ses.resumedTokens)},
		)
	}
	for _, edt := range eds {
		data, err = sjson.Set(data, edt.path, edt.val)
		if err != nil {
			return "", err
		}
	}
	return data, nil
}

// jsonEdit is a new value for a path of a JSON document.
type jsonEdit struct {
	path string
	val  any
}

// nextRound prepares the session for a round that continues after the relayed text.
func (ses *session) nextRound() {
	ses.winner.Store(nil)
	ses.resumedText = ses.text.String()
	ses.resumedTokens = ses.tokens
}

// attemptID returns the value of the header router.HeaderAttempt.
func attemptID(request string, attempt int) string {
	return request + "." + strconv.Itoa(attempt)
}
