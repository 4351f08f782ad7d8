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

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
)

// lineBytes bounds a line of a log.
const lineBytes = 1 << 20

// ErrUnknown reports that no line names the request.
var ErrUnknown = errors.New("no line names the request")

// Line is a line of a node's log.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Request is empty for lines that concern no single request.
	Request string
	// Upstream is empty for lines that concern no upstream.
	Upstream string
	Text     string
}

// Log is the lines of one or more nodes in the order of their times.
type Log struct {
	lines []Line
}

// Read adds the JSON lines of a log; what stands before the first brace of a line is ignored, and so are lines without one.
func (log *Log) Read(src io.Reader) (err error) {
	defer fault.Annotate(&err, "read log")
	scn := bufio.NewScanner(src)
	scn.Buffer(make([]byte, 0, 64<<10), lineBytes)
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

// Explain writes what happened to a request, or returns ErrUnknown.
func (log *Log) Explain(out io.Writer, request string) (err error) {
	own := log.of(request)
	if len(own) == 0 {
		return errors.Wrap(ErrUnknown, request)
	}
	for _, lin := range log.beliefs(own) {
		fmt.Fprintln(out, "before  ", lin.Text)
	}
	for _, lin := range own {
		fmt.Fprintln(out, "decision", lin.Text)
	}
	return nil
}

// of returns the lines of a request.
func (log *Log) of(request string) (own []Line) {
	for _, lin := range log.lines {
		if lin.Request == request {
			own = append(own, lin)
		}
	}
	return own
}

// beliefs returns, for the node of a request, the newest line of each kind before the request ended: its manifest, the store, and the upstreams that the request met.
func (log *Log) beliefs(own []Line) (res []Line) {
	ups := make(map[string]bool)
	for _, lin := range own {
		ups[lin.Upstream] = lin.Upstream != ""
	}
	end := own[len(own)-1].Time
	newest := make(map[string]Line)
	for _, lin := range log.lines {
		if lin.Node != own[0].Node || lin.Request != "" || lin.Time.After(end) {
			continue
		}
		if lin.Upstream == "" {
			newest[topic(lin)] = lin
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

// topic groups messages that replace each other.
func topic(lin Line) string {
	for _, nam := range []string{"manifest", "store", "node", "settings"} {
		if strings.HasPrefix(lin.Message, nam) {
			return nam + gjson.Get(lin.Text, "Kind").String() + gjson.Get(lin.Text, "Peer").String()
		}
	}
	return lin.Message
}
