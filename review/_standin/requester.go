package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// sent is one request of a requester.
type sent struct {
	id      string
	gate    string
	at      time.Time
	written time.Time
	ended   time.Time
	// status is 0 if the channel ended without a complete answer.
	status int
	header http.Header
	body   string
	err    error
}

// request describes what a requester sends.
type request struct {
	id       string
	method   string
	path     string
	host     string
	key      string
	header   map[string]string
	body     string
	deadline time.Duration
}

// send sends a request on a new channel and reads the answer.
func send(gateName, addr string, r request) sent {
	s := sent{id: r.id, gate: gateName, at: time.Now()}
	defer func() { s.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		s.err = err
		s.ended = time.Now()
		return s
	}
	defer func() { _ = conn.Close() }()
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", r.key)
	}
	for _, name := range sortedKeys(r.header) {
		fmt.Fprintf(&head, "%s: %s\r\n", name, r.header[name])
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n" + r.body)
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := conn.Write(head.Bytes()); err != nil {
		s.err = err
		s.ended = time.Now()
		return s
	}
	s.written = time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		s.err = err
		s.ended = time.Now()
		return s
	}
	raw, err := io.ReadAll(response.Body)
	s.ended = time.Now()
	if err != nil {
		s.err = err
		return s
	}
	s.status, s.header, s.body = response.StatusCode, response.Header, string(raw)
	return s
}
