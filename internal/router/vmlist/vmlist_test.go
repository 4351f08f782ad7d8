package vmlist_test

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/vmlist"
)

const list = `[{"targets":["10.0.0.1:1"],"labels":{"role":"node","name":"a"}}]`

// fetch reads a list whose head has this status line and these fields beside its length.
func fetch(t *testing.T, statusLine, fields string) (vms []router.VM, err error) {
	t.Helper()
	scr := fakes.NewScriptedServer(t, statusLine+"\r\nContent-Length: "+strconv.Itoa(len(list))+"\r\n"+fields+"\r\n"+list)
	return vmlist.New("http://" + scr.Address + "/vms").List(t.Context())
}

func checkNoList(t *testing.T, statusLine, fields string) {
	t.Helper()
	if vms, err := fetch(t, statusLine, fields); !errors.Is(err, router.ErrUnavailable) {
		t.Errorf("list %v, error %v", vms, err)
	}
}

// TestSoundList guards against a stand-in whose answer fails for another reason than its malformed head.
func TestSoundList(t *testing.T) {
	vms, err := fetch(t, "HTTP/1.1 200 OK", "Content-Type: application/json\r\n")
	if err != nil || len(vms) != 1 || vms[0] != (router.VM{Address: "10.0.0.1:1", Role: vmlist.RoleNode, Name: "a"}) {
		t.Errorf("list %v, error %v", vms, err)
	}
}

// TestInvalidStatusOfList guards against an answer whose status is none, such as 000.
func TestInvalidStatusOfList(t *testing.T) {
	for name, line := range fakes.InvalidStatusLines() {
		t.Run(name, func(t *testing.T) { checkNoList(t, line, "") })
	}
}

// TestInvalidFieldOfList guards against an answer with a malformed field.
func TestInvalidFieldOfList(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) { checkNoList(t, "HTTP/1.1 200 OK", line) })
	}
}

// TestEndlessList guards against a list that is read as long as it goes on.
func TestEndlessList(t *testing.T) {
	const limit = 64 << 20
	const okHead = "HTTP/1.1 200 OK\r\n"
	cases := map[string]fakes.Repetition{
		"blanks":  {Start: okHead + "\r\n[", Text: strings.Repeat(" ", 16<<10)},
		"entries": {Start: okHead + "\r\n[{}", Text: strings.Repeat(`,{"targets":[]}`, 1000)},
		"text":    {Start: okHead + "\r\n[{\"targets\":[\"", Text: strings.Repeat("x", 16<<10)},
		"fields":  {Start: okHead, Text: "Odd: a\r\n"},
	}
	for name, rep := range cases {
		t.Run(name, func(t *testing.T) {
			rep.Limit = limit
			srv := fakes.NewEndlessServer(t, rep)
			if vms, err := vmlist.New("http://" + srv.Address + "/vms").List(t.Context()); !errors.Is(err, router.ErrUnavailable) {
				t.Errorf("list %v, error %v", vms, err)
			}
			if got := srv.Sent.Load(); got >= limit {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}
