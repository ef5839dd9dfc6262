package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// request is what a requester sends.
type request struct {
	method, path string
	body         []byte
	deadline     time.Duration
	header       string // further header lines
	id           string // one is made if it is empty
}

// answer is what a requester sees.
type answer struct {
	id     string
	sentAt time.Time // when the last byte was sent
	endAt  time.Time
	status int // 0 when the connection ended without a complete answer, or none was made
	body   string
	header http.Header
	err    error
	read   bool // a byte of the answer was read
	kept   bool // the connection had carried a request before
	last   bool // the answer announced the end of the connection
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixMilli()&0xffffffff, lastID.Add(1)) }

// conn is a kept connection of a requester to the node of its machine.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
}

func (n *node) dial() (*conn, error) {
	c, err := net.DialTimeout("tcp4", n.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{net: c, reader: bufio.NewReader(c)}, nil
}

func (c *conn) close() { _ = c.net.Close() }

// write writes a request.
func (c *conn) write(r request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRadishstand-Attempt-Id: %s\r\nRadishstand-Deadline-Ms: %d\r\n%s",
		r.method, r.path, host, r.id, r.deadline.Milliseconds(), r.header)
	if r.method != "GET" {
		head += "Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n"
	}
	if _, err := io.WriteString(c.net, head+"\r\n"); err != nil {
		return err
	}
	_, err := c.net.Write(r.body)
	return err
}

// read reads the answer to a request.
func (c *conn) read(r request) (a answer) {
	a.id = r.id
	defer func() { a.endAt = time.Now() }()
	if _, a.err = c.reader.Peek(1); a.err != nil {
		return a
	}
	a.read = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body, a.header, a.last = response.StatusCode, string(body), response.Header, response.Close
	return a
}

// exchange sends a request on a kept connection and reads the answer until slack after the deadline.
func (c *conn) exchange(r request) answer {
	if r.id == "" {
		r.id = newID()
	}
	_ = c.net.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	if err := c.write(r); err != nil {
		return answer{id: r.id, err: err, endAt: time.Now()}
	}
	sentAt := time.Now()
	a := c.read(r)
	a.sentAt = sentAt
	return a
}

// send sends a request on a new connection.
func (n *node) send(r request) answer {
	if r.id == "" {
		r.id = newID()
	}
	c, err := n.dial()
	if err != nil {
		return answer{id: r.id, err: err}
	}
	defer c.close()
	a := c.exchange(r)
	n.fleet.record("requester at %s: %s %s %s: %s", n.name, a.id, r.method, r.path, a)
	return a
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	return strconv.Itoa(a.status)
}
