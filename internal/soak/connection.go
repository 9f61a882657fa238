package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// answerTimeout is the longest wait for an answer; it exceeds the deadlines of the records.
const answerTimeout = 15 * time.Second

// errClosedBefore means that the entry had closed the connection before the request was
// sent, which is no fault.
var errClosedBefore = errors.New("connection closed before the request")

// connection is one open connection to an entry's listener for callers. Its user keeps it
// until the entry ends it or answers with "Connection: close".
type connection struct {
	entry  int
	to     entryProcess
	conn   net.Conn
	reader *bufio.Reader
	// used is the number of answers received.
	used int
	// ended is set once no further request can be sent.
	ended bool
}

func dial(entry int, to entryProcess) (*connection, error) {
	conn, err := net.DialTimeout("tcp", to.addresses["callers"], time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{entry: entry, to: to, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is a complete response.
type answer struct {
	status int
	header http.Header
	body   []byte
	// last is set if the entry closes the connection after this response.
	last bool
}

// send sends a request, with a pause in its middle, and waits for the complete response.
// whole reports whether all bytes of the request were written.
func (c *connection) send(r *http.Request, pause time.Duration) (got answer, whole bool, err error) {
	if c.closed() {
		return answer{}, false, errClosedBefore
	}
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return answer{}, false, err
	}
	whole = c.write(text.Bytes(), pause) == nil
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return answer{}, whole, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, whole, err
	}
	c.used++
	return answer{response.StatusCode, response.Header, body, response.Close}, whole, nil
}

func (c *connection) write(text []byte, pause time.Duration) error {
	half := len(text)
	if pause > 0 {
		half = len(text) / 2
	}
	if _, err := c.conn.Write(text[:half]); err != nil {
		return err
	}
	time.Sleep(pause)
	_, err := c.conn.Write(text[half:])
	return err
}

// closed reports whether the entry has closed the connection.
func (c *connection) closed() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
