package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const requestTimeout = 30 * time.Second

// Answer is the answer to a request, with the names of the node and the upstream that handled it.
type Answer struct {
	Status   int
	Outcome  router.Outcome
	Upstream string
	Node     string
	Text     string
}

// Run starts the deployment, sends the requests, prints a line for each answer and stops the deployment. err
// is the first failed check.
func Run(out io.Writer, opt fleet.Options) (err error) {
	defer errs.Annotatef(&err, "demo %s", opt.Example)
	flt, err := fleet.Start(opt)
	if err != nil {
		return err
	}
	defer flt.Stop()
	fmt.Fprintf(out, "%s: %d nodes, %d processes\n", flt.Config.Deployment, len(flt.Nodes), flt.NumProcesses())
	ses := &session{out: out, fleet: flt, key: fleet.KeyPrefix + flt.Config.Workspaces[0].Name}
	return ses.run()
}

// session sends the requests of a demo.
type session struct {
	out   io.Writer
	fleet *fleet.Fleet
	key   string
}

func (ses *session) run() (err error) {
	cls := ses.fleet.Config.Classes
	mod := ses.fleet.Config.Pools[0].Models[0]
	if err := ses.checkChat(0, cls[0].Name, mod, "tokens=12 a preview for the counter", true); err != nil {
		return err
	}
	if err := ses.checkChat(1, cls[len(cls)-2].Name, mod, "tokens=40 a draft that can wait", false); err != nil {
		return err
	}
	return ses.checkOrder()
}

// checkChat sends a chat request through a node and compares the answer with the one that the engine must
// generate for the prompt.
func (ses *session) checkChat(node int, class, model, prompt string, stream bool) (err error) {
	defer errs.Annotatef(&err, "class %s", class)
	ans, err := ses.sendChat(node, class, model, prompt, stream)
	if err != nil {
		return err
	}
	ses.printAnswer(class, ans)
	if ans.Outcome != router.Ran {
		return errors.Errorf("outcome is %s, want Ran", ans.Outcome)
	}
	if ans.Text != fakes.ExpectedAnswer(fakes.RenderPrompt(prompt)) {
		return errors.New("the answer belongs to another request")
	}
	return nil
}

// checkOrder sends an order through one node and repeats it through another. Both must get the same answer, and
// the services must have executed the order once.
func (ses *session) checkOrder() (err error) {
	defer errs.Annotate(&err, "order")
	pol := ses.fleet.Config.Pools[1]
	pth := "/services/" + pol.Name + pol.Operations[0].Path
	key := "demo-order-1"
	fst, err := ses.sendOrder(2, pth, key)
	if err != nil {
		return err
	}
	ses.printAnswer("order", fst)
	snd, err := ses.sendOrder(3, pth, key)
	if err != nil {
		return err
	}
	ses.printAnswer("order repeated", snd)
	if fst.Outcome != router.Ran || snd.Outcome != router.Ran || fst.Text != snd.Text {
		return errors.New("the repeated order did not get the answer of the first one")
	}
	exs, err := ses.fleet.Executions()
	if err != nil {
		return err
	}
	fmt.Fprintf(ses.out, "  the services executed the order %d time(s)\n", len(exs[key]))
	if len(exs[key]) != 1 {
		return errors.Errorf("the order was executed %d times, want 1", len(exs[key]))
	}
	return nil
}

func (ses *session) printAnswer(what string, ans Answer) {
	fmt.Fprintf(ses.out, "  %-15s via %s: %d, %s %s, upstream %s: %s\n", what, ans.Node, ans.Status,
		router.HeaderOutcome, ans.Outcome, ans.Upstream, truncate(ans.Text))
}

const maxPrintedText = 48

func truncate(txt string) string {
	if len(txt) <= maxPrintedText {
		return txt
	}
	return txt[:maxPrintedText] + "..."
}

// sendChat sends a chat request through a node.
func (ses *session) sendChat(node int, class, model, prompt string, stream bool) (ans Answer, err error) {
	bdy, err := json.Marshal(map[string]any{
		"model":    model,
		"stream":   stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return Answer{}, err
	}
	return ses.send(node, "/v1/chat/completions", bdy, map[string]string{router.HeaderClass: class}, chatText)
}

// sendOrder sends an order through a node.
func (ses *session) sendOrder(node int, path, key string) (ans Answer, err error) {
	hdr := map[string]string{router.HeaderClass: ses.fleet.Config.Classes[1].Name, router.HeaderOrderKey: key}
	return ses.send(node, path, []byte(`{"Prints":12}`), hdr, plainText)
}

// send sends a request and reads the answer with the function text, whose second argument is whether the answer is
// a stream.
func (ses *session) send(node int, path string, bdy []byte, hdr map[string]string, text func(io.Reader, bool) (string, error)) (ans Answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, ses.fleet.Nodes[node].URL+path, bytes.NewReader(bdy))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+ses.key)
	req.Header.Set("Content-Type", "application/json")
	for nam, val := range hdr {
		req.Header.Set(nam, val)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	ans = Answer{
		Status:   res.StatusCode,
		Outcome:  router.Outcome(res.Header.Get(router.HeaderOutcome)),
		Upstream: res.Header.Get(router.HeaderUpstream),
		Node:     res.Header.Get(router.HeaderNode),
	}
	ans.Text, err = text(res.Body, strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"))
	return ans, err
}

func plainText(bdy io.Reader, _ bool) (txt string, err error) {
	raw, err := io.ReadAll(bdy)
	return string(raw), err
}

// chatText returns the generated text of a completion, streamed or not.
func chatText(bdy io.Reader, stream bool) (txt string, err error) {
	if !stream {
		raw, err := io.ReadAll(bdy)
		return gjson.GetBytes(raw, "choices.0.message.content").String(), err
	}
	var bld strings.Builder
	scn := bufio.NewScanner(bdy)
	for scn.Scan() {
		dat, fnd := strings.CutPrefix(scn.Text(), "data: ")
		if fnd {
			bld.WriteString(gjson.Get(dat, "choices.0.delta.content").String())
		}
	}
	return bld.String(), scn.Err()
}
