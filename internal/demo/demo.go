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

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const timeout = 30 * time.Second

// Answer is what a caller got.
type Answer struct {
	Status   int
	Outcome  router.Outcome
	Upstream string
	Node     string
	Text     string
}

// Run starts the deployment, shows the path and stops what it started; err names the first promise that did not hold.
func Run(out io.Writer, opt fleet.Options) (err error) {
	defer fault.Annotatef(&err, "demo %s", opt.Example)
	flt, err := fleet.Start(opt)
	if err != nil {
		return err
	}
	defer flt.Stop()
	fmt.Fprintf(out, "%s: %d nodes, %d processes\n", flt.Config.Deployment, len(flt.Nodes), flt.Processes())
	shw := &show{out: out, fleet: flt, key: fleet.KeyPrefix + flt.Config.Workspaces[0].Name}
	return shw.all()
}

type show struct {
	out   io.Writer
	fleet *fleet.Fleet
	key   string
}

func (shw *show) all() (err error) {
	cls := shw.fleet.Config.Classes
	mod := shw.fleet.Config.Pools[0].Models[0]
	if err := shw.chat(0, cls[0].Name, mod, "tokens=12 a preview for the counter", true); err != nil {
		return err
	}
	if err := shw.chat(1, cls[len(cls)-2].Name, mod, "tokens=40 a draft that can wait", false); err != nil {
		return err
	}
	return shw.order()
}

// chat sends a chat request through a node and compares the answer with what the engine must produce.
func (shw *show) chat(node int, class, model, prompt string, stream bool) (err error) {
	defer fault.Annotatef(&err, "class %s", class)
	ans, err := shw.ask(node, class, model, prompt, stream)
	if err != nil {
		return err
	}
	shw.print(class, ans)
	if ans.Outcome != router.Ran {
		return errors.Errorf("outcome is %s", ans.Outcome)
	}
	if ans.Text != stand.Expected(stand.Prompt(prompt)) {
		return errors.New("the answer is not the one that belongs to the request")
	}
	return nil
}

// order sends an order through one node, repeats it through another, and reads from the services how often it ran.
func (shw *show) order() (err error) {
	defer fault.Annotate(&err, "order")
	pol := shw.fleet.Config.Pools[1]
	pth := "/services/" + pol.Name + pol.Operations[0].Path
	key := "demo-order-1"
	fst, err := shw.place(2, pth, key)
	if err != nil {
		return err
	}
	shw.print("order", fst)
	snd, err := shw.place(3, pth, key)
	if err != nil {
		return err
	}
	shw.print("order repeated", snd)
	if fst.Outcome != router.Ran || snd.Outcome != router.Ran || fst.Text != snd.Text {
		return errors.New("the repeat did not get the first answer")
	}
	exs, err := shw.fleet.Executions()
	if err != nil {
		return err
	}
	fmt.Fprintf(shw.out, "  the services executed the order %d time(s)\n", len(exs[key]))
	if len(exs[key]) != 1 {
		return errors.Errorf("the order was executed %d times", len(exs[key]))
	}
	return nil
}

func (shw *show) print(what string, ans Answer) {
	fmt.Fprintf(shw.out, "  %-15s via %s: %d, %s %s, upstream %s: %s\n", what, ans.Node, ans.Status,
		router.HeaderOutcome, ans.Outcome, ans.Upstream, abridge(ans.Text))
}

const abridged = 48

func abridge(txt string) string {
	if len(txt) <= abridged {
		return txt
	}
	return txt[:abridged] + "..."
}

// ask sends one chat request through a node.
func (shw *show) ask(node int, class, model, prompt string, stream bool) (ans Answer, err error) {
	bdy, err := json.Marshal(map[string]any{
		"model":    model,
		"stream":   stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return Answer{}, err
	}
	return shw.send(node, "/v1/chat/completions", bdy, map[string]string{router.HeaderClass: class}, chatText)
}

// place sends one order through a node.
func (shw *show) place(node int, path, key string) (ans Answer, err error) {
	hdr := map[string]string{router.HeaderClass: shw.fleet.Config.Classes[1].Name, router.HeaderOrderKey: key}
	return shw.send(node, path, []byte(`{"Prints":12}`), hdr, plainText)
}

func (shw *show) send(node int, path string, bdy []byte, hdr map[string]string, text func(io.Reader, bool) (string, error)) (ans Answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, shw.fleet.Nodes[node].URL+path, bytes.NewReader(bdy))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+shw.key)
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

// chatText returns the answer's text of a streamed or whole completion.
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
