package order

import (
	"net/http"
	"sort"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// ToWire converts an answer to the message that is stored, with the headers sorted by name.
func ToWire(ans *router.Answer) *wire.Answer {
	msg := &wire.Answer{Status: int32(ans.Status), Body: ans.Body, Upstream: ans.Upstream}
	for nam, vls := range ans.Header {
		msg.Headers = append(msg.Headers, &wire.Header{Name: nam, Values: vls})
	}
	sort.Slice(msg.Headers, func(one, two int) bool {
		return msg.Headers[one].GetName() < msg.Headers[two].GetName()
	})
	return msg
}

// FromWire converts a stored message to an answer.
func FromWire(msg *wire.Answer) *router.Answer {
	ans := &router.Answer{
		Status:   int(msg.GetStatus()),
		Header:   make(http.Header),
		Body:     msg.GetBody(),
		Upstream: msg.GetUpstream(),
	}
	for _, hdr := range msg.GetHeaders() {
		ans.Header[hdr.GetName()] = hdr.GetValues()
	}
	return ans
}
