package send

import (
	"bytes"
	"testing"
)

// FuzzEvents checks the search for events in a stream: the end of the last complete event is within the text and behind an
// empty line, and the id found is a part of the text.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\na\n\nid: 2\nb\n\nid: 3"))
	f.Add([]byte("id:7\r\nx\r\n\r\n"))
	f.Add([]byte("\n\n"))
	f.Fuzz(func(t *testing.T, txt []byte) {
		end := lastEventEnd(txt)
		if end < 0 || end > len(txt) {
			t.Fatalf("end %d of %d bytes", end, len(txt))
		}
		if end > 0 && txt[end-1] != '\n' {
			t.Errorf("the event does not end with a line")
		}
		if id := findLastEventID(txt[:end]); !bytes.Contains(txt, []byte(id)) {
			t.Errorf("id %q is not in the text", id)
		}
	})
}
