package web_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/callerbudget"
	"sequoialead/io/web"
)

func answerNothing(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

func longIdle() time.Duration { return time.Hour }

func dial(c *qt.C, s *web.Server) *net.TCPConn {
	conn, err := net.Dial("tcp", s.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// closedWithin reports whether the peer closes a connection without an answer.
func closedWithin(conn net.Conn, limit time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// answer sends a request and returns the status of the answer; 0 if there is none.
func answer(conn net.Conn, request string) int {
	if _, err := io.WriteString(conn, request); err != nil {
		return 0
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestConnectionsAreBounded guards against clients that open connections until no descriptor is
// left, and against refusing a client with a request because of connections without one.
func TestConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := start(t, web.Options{Handler: http.HandlerFunc(answerNothing), IdleTimeout: longIdle, Bounds: web.Bounds{Limits: callerbudget.Limits{Conns: 10}}})
	for range 10 {
		_ = dial(c, s)
	}
	c.Assert(closedWithin(dial(c, s), 5*time.Second), qt.IsTrue) // the others may be about to send
	time.Sleep(1300 * time.Millisecond)
	for range 20 {
		c.Assert(answer(dial(c, s), request), qt.Equals, http.StatusNoContent)
	}
	held, counts := s.Held()
	c.Assert(held.Conns <= 10, qt.IsTrue)
	c.Assert(counts.RefusedConns, qt.Equals, uint64(1))
	c.Assert(counts.EndedForConns, qt.Equals, uint64(20))
	c.Assert(s.Close(), qt.IsNil)
}

// TestHeadsAreBounded guards against heads that fill the memory, or never end, and against ending
// a connection on which no request was due yet.
func TestHeadsAreBounded(t *testing.T) {
	c := qt.New(t)
	header := func() (int, time.Duration) { return 16 << 10, 100 * time.Millisecond }
	s := start(t, web.Options{Handler: http.HandlerFunc(answerNothing), IdleTimeout: longIdle, Bounds: web.Bounds{Header: header}})
	within := strings.Replace(request, "\r\n\r\n", "\r\nX: "+strings.Repeat("x", 16<<10-60)+"\r\n\r\n", 1)
	c.Assert(answer(dial(c, s), within), qt.Equals, http.StatusNoContent)
	above := strings.Replace(request, "\r\n\r\n", "\r\nX: "+strings.Repeat("x", 100<<10)+"\r\n\r\n", 1)
	c.Assert(answer(dial(c, s), above), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)

	silent, slow := dial(c, s), dial(c, s)
	_, err := io.WriteString(slow, request[:10])
	c.Assert(err, qt.IsNil)
	c.Assert(closedWithin(slow, 5*time.Second), qt.IsTrue)
	c.Assert(answer(silent, request), qt.Equals, http.StatusNoContent)
	c.Assert(answer(silent, request), qt.Equals, http.StatusNoContent)
	_, counts := s.Held()
	c.Assert(counts, qt.Equals, web.Counts{LargeHeads: 1, SlowHeads: 1})
	c.Assert(s.Close(), qt.IsNil)
}

// TestHeadsOfManyLinesAreBounded guards against heads within the limit that take many times their
// size in memory.
func TestHeadsOfManyLinesAreBounded(t *testing.T) {
	c := qt.New(t)
	header := func() (int, time.Duration) { return 16 << 10, time.Minute }
	s := start(t, web.Options{
		Handler: http.HandlerFunc(answerNothing), IdleTimeout: longIdle,
		Bounds: web.Bounds{Header: header, Limits: callerbudget.Limits{Bytes: 4 << 20}},
	})
	var head strings.Builder
	for n := range 1800 {
		fmt.Fprintf(&head, "X%d:\r\n", n)
	}
	for range 50 {
		_, err := io.WriteString(dial(c, s), "GET / HTTP/1.1\r\nHost: h\r\n"+head.String())
		c.Assert(err, qt.IsNil)
	}
	time.Sleep(100 * time.Millisecond)
	held, counts := s.Held()
	c.Assert(held.Bytes <= 4<<20, qt.IsTrue)
	c.Assert(counts.RefusedMemory > 0, qt.IsTrue)
	c.Assert(counts.LargeHeads, qt.Equals, uint64(0))
	time.Sleep(1300 * time.Millisecond)
	c.Assert(answer(dial(c, s), request), qt.Equals, http.StatusNoContent)
	c.Assert(s.Close(), qt.IsNil)
}

// TestUnreadAnswersAreCut guards against clients that hold a handler by not reading, and against
// cutting off one that reads slowly.
func TestUnreadAnswersAreCut(t *testing.T) {
	c := qt.New(t)
	const stall = 1200 * time.Millisecond
	const slowReads = 12
	ended := make(chan string, 2)
	s := start(t, web.Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var err error
			for sent := 0; err == nil && sent < 8<<20; sent += 256 << 10 {
				_, err = w.Write(bytes.Repeat([]byte{'x'}, 256<<10))
			}
			if err != nil {
				ended <- r.URL.Path
			}
		}),
		IdleTimeout: longIdle, Bounds: web.Bounds{AnswerStall: stall},
	})
	unread, slow := dial(c, s), dial(c, s)
	for conn, path := range map[*net.TCPConn]string{unread: "/unread", slow: "/slow"} {
		c.Assert(conn.SetReadBuffer(8<<10), qt.IsNil)
		_, err := io.WriteString(conn, strings.Replace(request, "/", path, 1))
		c.Assert(err, qt.IsNil)
	}
	read := make(chan int64, 1)
	go func() {
		total := int64(0)
		for range slowReads { // these take a few times the limit
			n, _ := io.CopyN(io.Discard, slow, 32<<10)
			total += n
			time.Sleep(50 * time.Millisecond)
		}
		read <- total
	}()
	c.Assert(<-ended, qt.Equals, "/unread")
	c.Assert(<-read, qt.Equals, int64(slowReads*32<<10))
	_, counts := s.Held()
	c.Assert(counts, qt.Equals, web.Counts{UnreadAnswers: 1})
	_ = slow.Close()
	c.Assert(s.Close(), qt.IsNil)
}
