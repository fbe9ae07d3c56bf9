package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// endCheckInterval is how often a write of a request's body that makes no progress checks whether
// the peer has ended its side.
const endCheckInterval = 100 * time.Millisecond

var _ syscall.Conn = (*checkedConn)(nil)

// checkedConn is a connection whose Read returns io.EOF only if the peer has ended its side in
// order.
//
// The kernel reports the failure of a connection once, to the first call that meets it. If that
// is a write, reads return io.EOF from then on, as after an orderly end.
type checkedConn struct {
	net.Conn

	// writing is held during each write.
	writing sync.Mutex
	// failure is the first error of a write that the kernel reported; nil if there was none.
	failure error
	// ended is set once a read has met the end of the connection.
	ended atomic.Bool
}

// Write writes to the connection and remembers its failure.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	var reported syscall.Errno
	if c.failure == nil && errors.As(err, &reported) {
		c.failure = err
	}
	return n, err
}

// Read reads from the connection. At its end it returns the error of an earlier write, unless the
// connection failed only after the peer had ended its side. Writes fail from then on.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.ended.Store(true)
	// Interrupts a write in progress, which may have the error and not have returned yet.
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	c.writing.Lock()
	defer c.writing.Unlock()
	// The kernel reports a reset as EPIPE if the peer had ended its side before.
	if c.failure != nil && !errors.Is(c.failure, syscall.EPIPE) {
		return n, c.failure
	}
	return n, err
}

// writeBody writes the body of a request. It stops without an error if the peer has ended its side
// and reads nothing more. The kernel would time the connection out, and Read would take the error
// of the write for that of an answer that was cut.
func (c *checkedConn) writeBody(body []byte) error {
	for {
		_ = c.SetWriteDeadline(time.Now().Add(endCheckInterval)) // fails only on a closed connection
		if c.ended.Load() {
			return nil
		}
		n, err := c.Write(body)
		body = body[n:]
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			_ = c.SetWriteDeadline(time.Time{}) // fails only on a closed connection
			return err
		case n == 0 && c.peerEnded():
			return nil
		}
	}
}

// peerEnded reports whether the peer has ended its side of an open connection.
func (c *checkedConn) peerEnded() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return ended
}

// SyscallConn returns the raw connection.
func (c *checkedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
