package trace

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

// ErrNotFound reports that no line of the logs names the request.
var ErrNotFound = errors.New("no line names the request")

// line is one line of a node's log.
type line struct {
	time    time.Time
	node    string
	message string
	// request is empty for lines that concern no single request.
	request string
	// upstream is empty for lines that concern no upstream.
	upstream string
	// text is the whole line in JSON.
	text string
	// position is the number of lines that were read before this one.
	position int
}

// Explain writes the lines of a request, marked "decision", and before them the state of the nodes that logged these lines,
// marked "before". It reads the logs twice and keeps only what it may write. It returns ErrNotFound when no line names the
// request.
func Explain(out io.Writer, request string, logs ...Log) (err error) {
	defer errs.Annotate(&err, "explain request")
	lines, err := requestLines(request, logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Wrap(ErrNotFound, request)
	}
	states, err := stateLines(lines, logs)
	if err != nil {
		return err
	}
	for _, lin := range states {
		fmt.Fprintln(out, "before  ", lin.text)
	}
	for _, lin := range lines {
		fmt.Fprintln(out, "decision", lin.text)
	}
	return nil
}

// requestLines returns the lines that name a request, in order of time.
func requestLines(request string, logs []Log) (lines []line, err error) {
	for _, log := range logs {
		err := log.each(func(txt []byte) {
			if !bytes.Contains(txt, []byte(request)) {
				return
			}
			if lin, ok := parseLine(txt); ok && lin.request == request {
				lines = append(lines, lin)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	sortByTime(lines)
	return lines, nil
}

// stateLines takes the lines of a request and returns, for each node among them, the newest line about each part of the
// node's state that was logged no later than the node's last line of the request. Of the upstreams, it returns only those
// that the lines of the request name.
func stateLines(lines []line, logs []Log) (res []line, err error) {
	ups, ends := make(map[string]bool), make(map[string]time.Time)
	for _, lin := range lines {
		ups[lin.upstream] = lin.upstream != ""
		ends[lin.node] = lin.time
	}
	newest := make(map[string]line)
	position := 0
	for _, log := range logs {
		err := log.each(func(txt []byte) {
			lin, ok := parseLine(txt)
			lin.position = position
			position++
			if end, own := ends[lin.node]; !ok || !own || lin.request != "" || lin.time.After(end) {
				return
			}
			key := lin.node + "\n" + stateKey(lin)
			if lin.upstream != "" {
				if !ups[lin.upstream] {
					return
				}
				key = lin.node + "\n" + lin.upstream
			}
			if old, fnd := newest[key]; !fnd || !lin.time.Before(old.time) {
				newest[key] = lin
			}
		})
		if err != nil {
			return nil, err
		}
	}
	for _, lin := range newest {
		res = append(res, lin)
	}
	sortByTime(res)
	return res, nil
}

// parseLine decodes a line. It ignores text before the first brace, such as the prefix of a log collector; ok is false if no
// valid JSON follows.
func parseLine(txt []byte) (lin line, ok bool) {
	pos := bytes.IndexByte(txt, '{')
	if pos < 0 || !gjson.ValidBytes(txt[pos:]) {
		return line{}, false
	}
	val := gjson.ParseBytes(txt[pos:])
	return line{
		time:     val.Get("Time").Time(),
		node:     val.Get("Node").String(),
		message:  val.Get("Message").String(),
		request:  val.Get("Request").String(),
		upstream: val.Get("Upstream").String(),
		text:     string(txt[pos:]),
	}, true
}

// sortByTime sorts lines by time, those of the same time by node, and those of the same node in the order of reading.
func sortByTime(lines []line) {
	slices.SortStableFunc(lines, func(one, two line) int {
		return cmp.Or(one.time.Compare(two.time), cmp.Compare(one.node, two.node), cmp.Compare(one.position, two.position))
	})
}

// stateKey returns the same key for lines that report successive values of the same part of the
// node's state.
func stateKey(lin line) string {
	for _, nam := range []string{"manifest", "store", "node", "settings"} {
		if strings.HasPrefix(lin.message, nam) {
			return nam + gjson.Get(lin.text, "Kind").String() + gjson.Get(lin.text, "Peer").String()
		}
	}
	return lin.message
}
