package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"sequoialead"
	"sequoialead/io/http1"
)

const (
	earlyHead = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n"
	// earlyBodyBytes is more than a client reads at once.
	earlyBodyBytes = 24 << 10
	// uploadBytes is more than the kernel's buffers of a connection hold.
	uploadBytes = 16 << 20
	earlyTries  = 20
)

// exchangeEarly sends a long request to a server that answers, without a length, before it has
// read the request's body, and then ends the connection with a function. It returns the length of
// the body that the client got.
func exchangeEarly(t *testing.T, slow bool, end func(conn *net.TCPConn, r *bufio.Reader)) (int, error) {
	p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		write(conn, earlyHead+strings.Repeat("x", earlyBodyBytes))
		end(conn.(*net.TCPConn), r)
	})
	ctx, cancel := context.WithTimeout(context.Background(), roundTripTimeout)
	defer cancel()
	response, err := newClient(t).Do(ctx, p.addr, newRequest(strings.Repeat("y", uploadBytes)))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Close() }()
	return readBody(response, slow)
}

// readBody reads a body and returns its length. A slow reader leaves the end of the body to be
// read after the connection's end.
func readBody(body io.Reader, slow bool) (int, error) {
	length, buf := 0, make([]byte, 1<<10)
	for {
		if slow {
			time.Sleep(2 * time.Millisecond)
		}
		n, err := body.Read(buf)
		length += n
		if err == io.EOF {
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}

// The kernel reports a reset to one call only. If that is the write of the request's body, reads
// see the end of the connection, which must not pass for the end of an answer without a length.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	tests := []struct {
		desc string
		slow bool
		end  func(conn *net.TCPConn, r *bufio.Reader)
	}{
		{"at once", false, func(conn *net.TCPConn, _ *bufio.Reader) { reset(conn) }},
		{"at once, read slowly", true, func(conn *net.TCPConn, _ *bufio.Reader) { reset(conn) }},
		{"once it was read", false, func(conn *net.TCPConn, _ *bufio.Reader) {
			time.Sleep(10 * time.Millisecond)
			reset(conn)
		}},
		{"while the server reads", false, func(conn *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, uploadBytes/2)
			reset(conn)
		}},
		{"while the server reads, read slowly", true, func(conn *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, uploadBytes/2)
			reset(conn)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			whole := 0
			for range earlyTries {
				n, err := exchangeEarly(t, test.slow, test.end)
				if err == nil {
					whole++
					continue
				}
				c.Check(errorx.IsOfType(err, sequoialead.ErrBroken), qt.IsTrue, qt.Commentf("after %d bytes: %v", n, err))
			}
			c.Check(whole, qt.Equals, 0, qt.Commentf("of %d answers", earlyTries))
		})
	}
}

// waitForDelivery waits until the peer has received all that was sent, the connection's end
// included. What it has not received by a reset is lost.
func waitForDelivery(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	for waiting := 1; err == nil && waiting > 0; time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) { waiting, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }) // fails only on a closed connection
	}
}

// An answer without a length ends with its connection, also if the request was not read. A peer
// that closes its connection before it has read the request resets it after the answer's end.
func TestEarlyAnswerThatEndsInOrder(t *testing.T) {
	// read ends once the client has closed its connection.
	read := func(r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }
	tests := []struct {
		desc string
		end  func(conn *net.TCPConn, r *bufio.Reader)
	}{
		{"and the server reads on", func(conn *net.TCPConn, r *bufio.Reader) {
			_ = conn.CloseWrite()
			read(r)
		}},
		{"and the server closes", func(conn *net.TCPConn, _ *bufio.Reader) {
			_ = conn.CloseWrite()
			waitForDelivery(conn)
		}},
		{"and the server reads nothing for a while", func(conn *net.TCPConn, r *bufio.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			read(r)
		}},
		{"once the server has read the request", func(_ *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, uploadBytes)
		}},
	}
	for _, test := range tests {
		for _, slow := range []bool{false, true} {
			t.Run(test.desc+map[bool]string{true: ", read slowly"}[slow], func(t *testing.T) {
				c := qt.New(t)
				for range earlyTries {
					n, err := exchangeEarly(t, slow, test.end)
					c.Check(err, qt.IsNil)
					c.Check(n, qt.Equals, earlyBodyBytes)
				}
			})
		}
	}
}

// A server that answers and reads nothing more of the request makes the connection time out. Its
// answer is whole if it ended before that, however late it is read.
func TestEarlyAnswerBeforeATimeout(t *testing.T) {
	const ackTimeout = time.Second
	for _, ends := range []bool{false, true} {
		t.Run(map[bool]string{false: "without its end", true: "with its end"}[ends], func(t *testing.T) {
			c := qt.New(t)
			p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				write(conn, earlyHead+strings.Repeat("x", earlyBodyBytes))
				if ends {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
				time.Sleep(3 * ackTimeout)
			})
			client := http1.New(http1.Options{ConnectTimeout: time.Second, AckTimeout: ackTimeout, IdleTimeout: time.Minute})
			defer func() { _ = client.Close() }()
			response, err := client.Do(context.Background(), p.addr, newRequest(strings.Repeat("y", uploadBytes)))
			c.Assert(err, qt.IsNil)
			defer func() { _ = response.Close() }()
			time.Sleep(2 * ackTimeout)
			n, err := readBody(response, false)
			if ends {
				c.Assert(err, qt.IsNil)
				c.Assert(n, qt.Equals, earlyBodyBytes)
				return
			}
			c.Assert(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
