package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

// maxLineBytes bounds a line of a log; Read fails on a longer one.
const maxLineBytes = 1 << 20

// ErrNotFound reports that no line of the log names the request.
var ErrNotFound = errors.New("no line names the request")

// Line is one line of a node's log.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Request is empty for lines that concern no single request.
	Request string
	// Upstream is empty for lines that concern no upstream.
	Upstream string
	// Text is the whole line in JSON.
	Text string
}

// Log holds the log lines of one or more nodes in order of time.
type Log struct {
	lines []Line
}

// Read adds the lines of a log to Log. It ignores text before the first brace of a line, such as the
// prefix of a log collector, and lines without valid JSON.
func (log *Log) Read(src io.Reader) (err error) {
	defer errs.Annotate(&err, "read log")
	scn := bufio.NewScanner(src)
	scn.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scn.Scan() {
		pos := strings.IndexByte(scn.Text(), '{')
		if pos < 0 || !gjson.Valid(scn.Text()[pos:]) {
			continue
		}
		txt := scn.Text()[pos:]
		val := gjson.Parse(txt)
		log.lines = append(log.lines, Line{
			Time:     val.Get("Time").Time(),
			Node:     val.Get("Node").String(),
			Message:  val.Get("Message").String(),
			Request:  val.Get("Request").String(),
			Upstream: val.Get("Upstream").String(),
			Text:     txt,
		})
	}
	slices.SortStableFunc(log.lines, func(one, two Line) int { return one.Time.Compare(two.Time) })
	return scn.Err()
}

// Explain writes the state lines of a request, marked "before", and its own lines, marked "decision".
// It returns ErrNotFound when no line names the request.
func (log *Log) Explain(out io.Writer, request string) (err error) {
	lines := log.requestLines(request)
	if len(lines) == 0 {
		return errors.Wrap(ErrNotFound, request)
	}
	for _, lin := range log.stateLines(lines) {
		fmt.Fprintln(out, "before  ", lin.Text)
	}
	for _, lin := range lines {
		fmt.Fprintln(out, "decision", lin.Text)
	}
	return nil
}

// requestLines returns the lines that name a request.
func (log *Log) requestLines(request string) (lines []Line) {
	for _, lin := range log.lines {
		if lin.Request == request {
			lines = append(lines, lin)
		}
	}
	return lines
}

// stateLines takes the lines of a request and returns, for the node of the first one, the newest line
// about each part of the node's state that was logged no later than the last one. Of the upstreams, it
// returns only those that the lines of the request name.
func (log *Log) stateLines(lines []Line) (res []Line) {
	ups := make(map[string]bool)
	for _, lin := range lines {
		ups[lin.Upstream] = lin.Upstream != ""
	}
	end := lines[len(lines)-1].Time
	newest := make(map[string]Line)
	for _, lin := range log.lines {
		if lin.Node != lines[0].Node || lin.Request != "" || lin.Time.After(end) {
			continue
		}
		if lin.Upstream == "" {
			newest[stateKey(lin)] = lin
		} else if ups[lin.Upstream] {
			newest[lin.Upstream] = lin
		}
	}
	for _, lin := range newest {
		res = append(res, lin)
	}
	slices.SortFunc(res, func(one, two Line) int { return one.Time.Compare(two.Time) })
	return res
}

// stateKey returns the same key for lines that report successive values of the same part of the
// node's state.
func stateKey(lin Line) string {
	for _, nam := range []string{"manifest", "store", "node", "settings"} {
		if strings.HasPrefix(lin.Message, nam) {
			return nam + gjson.Get(lin.Text, "Kind").String() + gjson.Get(lin.Text, "Peer").String()
		}
	}
	return lin.Message
}
