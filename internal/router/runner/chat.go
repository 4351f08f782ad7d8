package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
)

const (
	chatPath = "/v1/chat/completions"
	// affinityBytes is how much of the messages decides which upstream has their prefix cached.
	affinityBytes = 512
)

// Chat is a chat-completions request that was admitted.
type Chat struct {
	ID        string
	Workspace string
	Class     router.Class
	Pool      router.Pool
	Body      []byte
	Arrived   time.Time
}

// Stream reports whether the caller asked for server-sent events.
func (cht Chat) Stream() bool {
	return gjson.GetBytes(cht.Body, "stream").Bool()
}

// single reports whether the answer is one text, which can be collected and continued.
func (cht Chat) single() bool {
	for _, fld := range []string{"tools", "functions", "logprobs", "audio", "echo"} {
		if res := gjson.GetBytes(cht.Body, fld); res.Exists() && res.Type != gjson.Null && res.Type != gjson.False {
			return false
		}
	}
	num := gjson.GetBytes(cht.Body, "n")
	return !num.Exists() || num.Int() == 1
}

// digest identifies the request's content on all nodes.
func (cht Chat) digest() string {
	sum := sha256.Sum256(cht.Body)
	return hex.EncodeToString(sum[:])
}

func (cht Chat) affinity() uint64 {
	raw := gjson.GetBytes(cht.Body, "messages").Raw
	return xxhash.Sum64String(cht.Workspace + raw[:min(len(raw), affinityBytes)])
}

// call returns the upstream's request that continues after text, of which tokens are counted.
func (cht Chat) call(text string, tokens, attempt int, stream bool) (cal relay.Call, err error) {
	defer fault.Annotate(&err, "build upstream request")
	edt := &editor{body: cht.Body}
	if stream {
		edt.set("stream", true)
	}
	if stream && !cht.Stream() {
		edt.set("stream_options", map[string]any{"include_usage": true})
	}
	if cht.Pool.Extensions {
		edt.set("priority", cht.Class.Tier)
	}
	if text != "" {
		edt.resume(text, tokens)
	}
	hdr := make(http.Header)
	hdr.Set("Content-Type", "application/json")
	hdr.Set(router.HeaderRequest, cht.ID)
	hdr.Set(router.HeaderAttempt, attemptID(cht.ID, attempt))
	return relay.Call{Method: http.MethodPost, Path: chatPath, Header: hdr, Body: edt.body}, edt.err
}

// editor sets fields of a JSON body and keeps the first error.
type editor struct {
	body []byte
	err  error
}

func (edt *editor) set(path string, val any) {
	if edt.err != nil {
		return
	}
	bdy, err := sjson.SetBytes(edt.body, path, val)
	if err != nil {
		edt.err = errors.Wrapf(err, "set %s", path)
		return
	}
	edt.body = bdy
}

// resume asks the engine to continue an answer instead of beginning one.
func (edt *editor) resume(text string, tokens int) {
	edt.set("messages.-1", map[string]string{"role": "assistant", "content": text})
	edt.set("continue_final_message", true)
	edt.set("add_generation_prompt", false)
	for _, fld := range []string{"max_tokens", "max_completion_tokens"} {
		if lim := gjson.GetBytes(edt.body, fld); lim.Exists() && lim.Type == gjson.Number {
			edt.set(fld, max(1, lim.Int()-int64(tokens)))
		}
	}
}
