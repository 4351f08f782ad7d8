package flood

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

const (
	// loadTime is how long, unless a crowd states another time, the callers of a crowd connect again after the node has closed their connection.
	loadTime = 5 * time.Second
	// againAfter is the time after which they do.
	againAfter = 50 * time.Millisecond
	// bodyShort is the number of bytes that an incomplete body lacks.
	bodyShort = 16
)

// crowd is a number of callers outside the limits, each with a connection of its own.
type crowd struct {
	size int
	// send writes what a caller sends; the caller then keeps the connection open.
	send func(wri io.Writer, num int) error
	// read is set if the callers read the answers.
	read bool
	// load is how long the load takes; zero means loadTime.
	load time.Duration
}

// start starts the callers. The function returned by it waits until the load has ended, while the connections stay open; they
// are closed when the context ends.
func (crw crowd) start(ctx context.Context, address string) (wait func()) {
	end := time.Now().Add(cmp.Or(crw.load, loadTime))
	for num := range crw.size {
		go func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				crw.visit(ctx, address, num)
				timer.Sleep(ctx, againAfter)
			}
		}()
	}
	return func() { timer.Sleep(ctx, time.Until(end)) }
}

// visit plays one connection until the node closes it or the context ends.
func (crw crowd) visit(ctx context.Context, address string, num int) {
	soc, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = soc.Close() }()
	defer context.AfterFunc(ctx, func() { _ = soc.Close() })()
	if tcp, ok := soc.(*net.TCPConn); ok && !crw.read {
		// The answer is to stay in the node, not in the buffers of the caller's socket.
		_ = tcp.SetReadBuffer(4 << 10)
	}
	var wgr sync.WaitGroup
	defer wgr.Wait()
	if crw.read {
		wgr.Go(func() {
			_, _ = io.Copy(io.Discard, soc)
			_ = soc.Close()
		})
	}
	if crw.send(soc, num) == nil && !crw.read {
		<-ctx.Done()
	}
}

// head returns the header of a request, to which fields can be added.
func head(route string, num int) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd-%d-%d\r\nCredential: %s\r\nDeadline-Ms: 20000\r\n",
		route, mock.Host, num, time.Now().UnixNano(), mock.Key)
}

// body is a body of the highest legal size. The callers share it.
var body = bytes.Repeat([]byte("b"), maxBodyBytes)

// sendBody sends a body with its length in pieces of a size, the last bytes of it left out.
func sendBody(piece, short int) func(wri io.Writer, num int) error {
	return func(wri io.Writer, num int) error {
		if _, err := io.WriteString(wri, head("lookup", num)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"); err != nil {
			return err
		}
		for left := body[short:]; len(left) > 0; {
			cut := min(piece, len(left))
			if _, err := wri.Write(left[:cut]); err != nil {
				return err
			}
			left = left[cut:]
		}
		return nil
	}
}

// sendChunks sends a chunked body in chunks of a size and leaves out the last chunk.
func sendChunks(chunk int) func(wri io.Writer, num int) error {
	one := []byte(strconv.FormatInt(int64(chunk), 16) + "\r\n" + string(body[:chunk]) + "\r\n")
	// Small chunks are written many at a time, to load the node rather than the caller.
	many := max(1, (16<<10)/len(one))
	txt := bytes.Repeat(one, many)
	return func(wri io.Writer, num int) error {
		if _, err := io.WriteString(wri, head("lookup", num)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for sent := 0; sent+many*chunk <= len(body)-bodyShort; sent += many * chunk {
			if _, err := wri.Write(txt); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendFields sends a request line and header fields with different short names, which take the most memory for their length, up
// to a number of bytes.
func sendFields(most int) func(wri io.Writer, num int) error {
	var txt bytes.Buffer
	_ = writeFields(&txt, min(most, 1<<20))
	return func(wri io.Writer, num int) error {
		if _, err := io.WriteString(wri, head("lookup", num)); err != nil {
			return err
		}
		for sent := 0; sent < most; sent += txt.Len() {
			if _, err := wri.Write(txt.Bytes()); err != nil {
				return err
			}
		}
		return nil
	}
}

// writeFields writes fields with different short names, of about a number of bytes together.
func writeFields(wri io.Writer, size int) (err error) {
	for num, sent := 0, 0; sent < size && err == nil; num++ {
		var one int
		one, err = io.WriteString(wri, strconv.FormatInt(int64(num), 36)+":\r\n")
		sent += one
	}
	return err
}

// sendLines sends empty lines until the node closes the connection.
func sendLines(wri io.Writer, _ int) error {
	for txt := bytes.Repeat([]byte("\r\n"), 8<<10); ; {
		if _, err := wri.Write(txt); err != nil {
			return err
		}
	}
}

// sendLarge requests a large answer.
func sendLarge(wri io.Writer, num int) error {
	_, err := io.WriteString(wri, head("lookup/large", num)+"Content-Length: 0\r\n\r\n")
	return err
}
