package flood

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

const (
	// productCallers is more than the slots of the upstreams, so that all slots are taken by answers without end.
	productCallers = 24
	productSlots   = 8
	// productAnswerBytes is the limit of answers of the service.
	productAnswerBytes = 1 << 20
)

// productCalls are requests whose answers are read in different ways.
var productCalls = map[string]string{
	"order":     "POST /services/shop/endless HTTP/1.1\r\nIdempotency-Key: k%d\r\nContent-Length: 0\r\n",
	"lookup":    "GET /services/shop/endless HTTP/1.1\r\nOdd: %d\r\n",
	"stream":    chat(`{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`),
	"collected": chat(`{"model":"m","messages":[{"role":"user","content":"a"}]}`),
	"forwarded": chat(`{"model":"m","n":2,"messages":[{"role":"user","content":"a"}]}`),
}

// chat returns the head and body of a chat request.
func chat(body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nOdd: %%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n{FIELDS}%s", len(body), body)
}

// sendProduct sends a request of a kind.
func sendProduct(kind string) func(wri io.Writer, num int) error {
	return func(wri io.Writer, num int) error {
		fields := "Host: h\r\nAuthorization: Bearer " + productKey + "\r\nHornbeamdyke-Class: interactive\r\n\r\n"
		text := fmt.Sprintf(productCalls[kind], num)
		if !strings.Contains(text, "{FIELDS}") {
			text += "{FIELDS}"
		}
		_, err := io.WriteString(wri, strings.Replace(text, "{FIELDS}", fields, 1))
		return err
	}
}

// answersLookup reports whether the node answers an ordinary lookup. The caller repeats it.
func answersLookup(ctx context.Context, nod *Node) bool {
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	for end := time.Now().Add(hangTime); time.Now().Before(end) && nod.Alive(); timer.Sleep(ctx, 100*time.Millisecond) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nod.Address+"/services/shop/stock", nil)
		if err != nil {
			return false
		}
		req.Header.Set("Authorization", "Bearer "+productKey)
		req.Header.Set("Hornbeamdyke-Class", "interactive")
		rsp, err := cli.Do(req)
		if err != nil {
			continue
		}
		txt, err := io.ReadAll(rsp.Body)
		_ = rsp.Body.Close()
		if err == nil && rsp.StatusCode == http.StatusOK && string(txt) == "stock" {
			return true
		}
	}
	return false
}

// TestEndlessAnswersOfProduct guards against upstreams in trouble that send bytes without end to a node that serves the product's own
// interface. Its memory is bounded by the slots of its upstreams.
func TestEndlessAnswersOfProduct(t *testing.T) {
	const token = `data: {"choices":[{"delta":{"content":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}}]}` + "\n\n"
	cases := map[string]struct {
		calls       []string
		start, text string
		fast        int64
	}{
		"no answer":        {[]string{"order", "stream"}, "", "\x01\x02", forever},
		"status line":      {[]string{"order", "stream"}, "HTTP/1.1 200 ", "x", forever},
		"one field":        {[]string{"order", "lookup", "stream"}, okLine + "Long: ", "x", forever},
		"short fields":     {[]string{"order", "lookup", "stream"}, okLine + shortFields(8<<20), "x", 0},
		"informational":    {[]string{"order", "stream"}, "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", forever},
		"body":             {[]string{"order", "lookup", "forwarded"}, okLine + "\r\n", "x", forever},
		"body in chunks":   {[]string{"order", "lookup", "forwarded"}, okLine + chunked, kilobyte, forever},
		"huge length":      {[]string{"order", "lookup", "forwarded"}, okLine + "Content-Length: 9000000000000000000\r\n\r\n", "x", forever},
		"body of an error": {[]string{"order", "stream", "collected"}, "HTTP/1.1 400 Bad\r\n\r\n", "x", forever},
		"event":            {[]string{"stream", "collected"}, okLine + "\r\ndata: ", "x", forever},
		"lines":            {[]string{"stream", "collected"}, okLine + "\r\n", "data: x\n", forever},
		"comments":         {[]string{"stream", "collected"}, okLine + "\r\n", ": x\n\n", forever},
		"tokens":           {[]string{"stream", "collected"}, okLine + "\r\n", token, forever},
	}
	for name, cas := range cases {
		for _, kind := range cas.calls {
			t.Run(name+" "+kind, func(t *testing.T) {
				ans := &fakes.EndlessAnswer{Start: cas.start, Text: cas.text, Fast: cas.fast, Delay: 200 * time.Millisecond}
				han := http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
					switch req.URL.Path {
					case fakes.HealthPath:
					case "/stock":
						fmt.Fprint(wri, "stock")
					default:
						ans.ServeHTTP(wri, req)
					}
				})
				nod, err := StartProduct(ProductOptions{
					Binary: binary, Dir: t.TempDir(), Engine: han, Service: han, Slots: productSlots, AnswerBytes: productAnswerBytes,
				})
				t.Cleanup(nod.Stop)
				if err != nil {
					t.Fatal(err)
				}
				if !answersLookup(t.Context(), nod) {
					t.Fatalf("the node does not start: %s", nod.LogEnd())
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				crowd{size: productCallers, send: sendProduct(kind), read: true, load: endlessTime}.start(ctx, nod.Address)()
				cancel()
				if !answersLookup(t.Context(), nod) {
					t.Error("no ordinary request is answered afterwards")
				}
				peak := nod.Peak()
				t.Logf("memory %d MiB; %d KiB were sent", peak.Bytes>>20, ans.Sent.Load()>>10)
				if !nod.Alive() {
					t.Errorf("the process ended: %s", nod.LogEnd())
				}
				if peak.Bytes > memoryMebibytes<<20 {
					t.Errorf("the process takes %d MiB of %d", peak.Bytes>>20, memoryMebibytes)
				}
			})
		}
	}
}
