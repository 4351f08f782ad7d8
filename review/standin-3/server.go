package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// idleTime is how long a server keeps a channel on which no request comes.
const idleTime = 15 * time.Second

// serve runs a stand-in for a server of the platform. It prints a line when it begins to run a request and one when it has answered.
//
// It serves slots requests at once and queues as many; beyond that it rejects them. A request that is not addressed to its id gets 421.
// From SIGUSR1 on it says in all its answers that it leaves.
func serve(args []string) error {
	set := flag.NewFlagSet("server", flag.ExitOnError)
	listen := set.String("listen", "", "address")
	id := set.String("id", "", "id of the server")
	work := set.Duration("work", 20*time.Millisecond, "time that a request takes")
	slots := set.Int("slots", 64, "requests at once")
	deadly := set.String("deadly", "", "part of a prompt at whose answer the server crashes")
	later := set.Duration("later", 0, "time from the first event of a deadly answer to the crash")
	length := set.String("length", "", "length that a plain answer states; empty for the true one")
	events := set.Int("events", 0, "events of a stream; zero for plain answers")
	_ = set.Parse(args)
	places := make(chan struct{}, *slots)
	queue := make(chan struct{}, 2**slots)
	var mut sync.Mutex
	say := func(format string, args ...any) {
		mut.Lock()
		defer mut.Unlock()
		fmt.Fprintf(os.Stdout, format+"\n", args...)
	}
	var leaving atomic.Bool
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		leaving.Store(true)
		say("leaving")
	}()
	han := http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		hdr, attempt := wri.Header(), req.Header.Get("Attempt-Id")
		if attempt != "" {
			hdr.Set("Attempt-Id", attempt)
		}
		hdr.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTime.Seconds())))
		if leaving.Load() {
			hdr.Set("Server-Leaving", "1")
			hdr.Set("Connection", "close")
		}
		health := req.URL.Path == "/healthz"
		if attempt == "" && !health {
			hdr.Set("Not-Executed", "1")
			wri.WriteHeader(http.StatusBadRequest)
			return
		}
		if req.Header.Get("Expected-Instance") != *id && req.Header.Get("Expected-Instance") != "" {
			hdr.Set("Instance-Id", *id)
			hdr.Set("Not-Executed", "1")
			wri.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		select {
		case queue <- struct{}{}:
		default:
			hdr.Set("Not-Executed", "1")
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-queue }()
		left := time.Hour
		if num, err := strconv.ParseFloat(req.Header.Get("Deadline-Ms"), 64); err == nil {
			left = time.Duration(num * float64(time.Millisecond))
		}
		end := time.Now().Add(left)
		select {
		case places <- struct{}{}:
		case <-time.After(left):
			hdr.Set("Not-Executed", "1")
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		case <-req.Context().Done():
			return
		}
		defer func() { <-places }()
		if health {
			hdr.Set("Instance-Id", *id)
			if leaving.Load() {
				wri.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		say("run %s %s %s tenant=%s body=%d", attempt, req.Method, req.RequestURI, req.Header.Get("Tenant"), len(body))
		left = time.Until(end)
		if *deadly != "" && strings.Contains(req.Header.Get("Prompt-Prefix"), *deadly+":") {
			if *later > 0 {
				hdr.Set("Server-Signature", "s."+*id)
				time.AfterFunc(*work+*later, func() { say("crash %s", attempt); os.Exit(3) })
				stream(wri, req, attempt, *events, *work)
				return
			}
			time.Sleep(*work)
			say("crash %s", attempt)
			os.Exit(3)
		}
		if *events > 0 {
			hdr.Set("Server-Signature", "s."+*id)
			hdr.Set("Weight-Versions", "1")
			ctx, cancel := context.WithTimeout(req.Context(), left)
			defer cancel()
			stream(wri, req.WithContext(ctx), attempt, *events, *work)
			say("done %s", attempt)
			return
		}
		select {
		case <-time.After(min(*work, left)):
		case <-req.Context().Done():
			say("dropped %s", attempt)
			return
		}
		if left < *work {
			hdr.Set("Server-Signature", "s."+*id)
			wri.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		hdr.Set("Server-Signature", "s."+*id)
		hdr.Set("Content-Type", "text/plain")
		if *length != "" {
			con, _, err := http.NewResponseController(wri).Hijack()
			if err != nil {
				return
			}
			fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: s.%s\r\nContent-Length: %s\r\n\r\nx", attempt, *id, *length)
			_ = con.Close()
			return
		}
		var buf bytes.Buffer
		fmt.Fprintf(&buf, "%s answered by %s %s", attempt, *id, strings.Repeat("x", 700))
		hdr.Set("Content-Length", strconv.Itoa(buf.Len()))
		_, _ = wri.Write(buf.Bytes())
		say("done %s", attempt)
	})
	return (&http.Server{Addr: *listen, Handler: han, ReadHeaderTimeout: idleTime, IdleTimeout: idleTime}).ListenAndServe()
}

// stream sends the events after the Last-Event-Id of a request, with a gap before each.
func stream(wri http.ResponseWriter, req *http.Request, attempt string, events int, gap time.Duration) {
	wri.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	ctl := http.NewResponseController(wri)
	for num := after + 1; num <= events; num++ {
		select {
		case <-time.After(gap):
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(wri, "id: %d\ndata: %s.%d of %d\n\n", num, attempt, num, events)
		if ctl.Flush() != nil {
			return
		}
	}
}
