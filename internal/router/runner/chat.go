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

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
)

const (
	chatPath = "/v1/chat/completions"
	// affinityBytes is the number of leading bytes of the messages that are hashed for prefix affinity.
	affinityBytes = 512
)

// Chat is an admitted request to the chat-completions API.
type Chat struct {
	ID        string
	Workspace string
	Class     router.Class
	Pool      router.Pool
	Body      []byte
	Arrived   time.Time
}

// Stream reports whether the caller requested server-sent events.
func (cht Chat) Stream() bool {
	return gjson.GetBytes(cht.Body, "stream").Bool()
}

// textOnly reports whether the answer is a single text. Only such an answer can be collected from a
// stream, and continued by another upstream.
func (cht Chat) textOnly() bool {
	for _, fld := range []string{"tools", "functions", "logprobs", "audio", "echo"} {
		if res := gjson.GetBytes(cht.Body, fld); res.Exists() && res.Type != gjson.Null && res.Type != gjson.False {
			return false
		}
	}
	num := gjson.GetBytes(cht.Body, "n")
	return !num.Exists() || num.Int() == 1
}

// digest returns the digest of the body, by which all nodes identify the request in package guard.
func (cht Chat) digest() string {
	sum := sha256.Sum256(cht.Body)
	return hex.EncodeToString(sum[:])
}

// affinity returns the hash by which the scheduler prefers an upstream that has the prefix cached.
func (cht Chat) affinity() uint64 {
	raw := gjson.GetBytes(cht.Body, "messages").Raw
	return xxhash.Sum64String(cht.Workspace + raw[:min(len(raw), affinityBytes)])
}

// upstreamCall returns the request for the upstream. If text is not empty, the engine is to continue the
// answer after it; tokens is the number of tokens of text.
func (cht Chat) upstreamCall(text string, tokens, attempt int, stream bool) (cal relay.Call, err error) {
	defer errs.Annotate(&err, "build upstream request")
	edt := &bodyEditor{body: cht.Body}
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
		edt.continueFrom(text, tokens)
	}
	hdr := make(http.Header)
	hdr.Set("Content-Type", "application/json")
	hdr.Set(router.HeaderRequest, cht.ID)
	hdr.Set(router.HeaderAttempt, attemptID(cht.ID, attempt))
	return relay.Call{Method: http.MethodPost, Path: chatPath, Header: hdr, Body: edt.body}, edt.err
}

// bodyEditor sets fields of a JSON body and keeps the first error.
type bodyEditor struct {
	body []byte
	err  error
}

func (edt *bodyEditor) set(path string, val any) {
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

// continueFrom makes the engine continue the answer after text instead of starting a new one.
func (edt *bodyEditor) continueFrom(text string, tokens int) {
	edt.set("messages.-1", map[string]string{"role": "assistant", "content": text})
	edt.set("continue_final_message", true)
	edt.set("add_generation_prompt", false)
	for _, fld := range []string{"max_tokens", "max_completion_tokens"} {
		if lim := gjson.GetBytes(edt.body, fld); lim.Exists() && lim.Type == gjson.Number {
			edt.set(fld, max(1, lim.Int()-int64(tokens)))
		}
	}
}
