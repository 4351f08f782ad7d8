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

// Sink receives a chat answer; an error means that the caller is gone.
type Sink interface {
	// Begin is called once, before the first event.
	Begin(upstream string) error
	// Event passes the data of one server-sent event.
	Event(data string) error
}

// sealed is the winner of a round that ended without one.
var sealed = &attempt{}

// session is the state of one chat answer over all its attempts.
//
// Only the winning attempt writes to it, and attempts follow one another.
type session struct {
	chat   Chat
	sink   Sink
	digest string
	// single is set when the answer is one text that another upstream can continue.
	single bool
	// winner is the attempt that had the first token of the present round.
	winner atomic.Pointer[attempt]
	// sent is set when any upstream may have received the request.
	sent     atomic.Bool
	attempts atomic.Int64
	// losses counts the attempts that ended by a crash or a silent connection.
	losses  int
	arrived time.Time
	avoid   map[string]bool
	begun   bool
	// text is what was relayed, and tokens how many events with content it came in.
	text   strings.Builder
	tokens int
	// prefix is the text that earlier attempts relayed, of resumedAt tokens.
	prefix    string
	resumedAt int
	// id and created are those of the first attempt; the caller sees them throughout.
	id      string
	created int64
}

func newSession(cht Chat, snk Sink) *session {
	return &session{
		chat:    cht,
		sink:    snk,
		digest:  cht.digest(),
		single:  cht.single(),
		arrived: cht.Arrived,
		avoid:   make(map[string]bool),
	}
}

// resumable reports whether another upstream can go on with the answer.
func (ses *session) resumable() bool {
	return !ses.begun || ses.single && ses.chat.Pool.Extensions
}

// relay passes one event of the winning attempt to the caller.
func (ses *session) relay(ups router.Upstream, data, content string) (err error) {
	if !ses.begun {
		ses.begun = true
		ses.id = gjson.Get(data, "id").String()
		ses.created = gjson.Get(data, "created").Int()
		if err := ses.sink.Begin(ups.Name); err != nil {
			return err
		}
	}
	if ses.resumedAt > 0 {
		data, err = ses.rewrite(data)
		if err != nil {
			return err
		}
	}
	if content != "" {
		ses.text.WriteString(content)
		ses.tokens++
	}
	return ses.sink.Event(data)
}

// rewrite makes an event of a later attempt look like one of the first.
func (ses *session) rewrite(data string) (res string, err error) {
	sts := []change{{"id", ses.id}, {"created", ses.created}}
	if use := gjson.Get(data, "usage"); use.IsObject() {
		sts = append(sts,
			change{"usage.completion_tokens", use.Get("completion_tokens").Int() + int64(ses.resumedAt)},
			change{"usage.prompt_tokens", use.Get("prompt_tokens").Int() - int64(ses.resumedAt)},
		)
	}
	for _, stp := range sts {
		data, err = sjson.Set(data, stp.path, stp.val)
		if err != nil {
			return "", err
		}
	}
	return data, nil
}

// change is a new value at a path of a JSON document.
type change struct {
	path string
	val  any
}

// nextRound prepares the session for another attempt after one that relayed a part.
func (ses *session) nextRound() {
	ses.winner.Store(nil)
	ses.prefix = ses.text.String()
	ses.resumedAt = ses.tokens
}

func attemptID(request string, attempt int) string {
	return request + "." + strconv.Itoa(attempt)
}
