package asynclog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/common/asynclog"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// When the reader of the output stalls, Write does not block, the buffer stays
// within its limit, and every line is either written or counted as dropped.
func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	c := qt.New(t)
	w := &blockedWriter{unblock: make(chan struct{})}
	s := asynclog.New(asynclog.Options{Output: w, MaxBytes: 1000, LinesPerSecond: 1e9, Burst: 1e9, Now: time.Now})
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 10000 {
		_, err := s.Write(line)
		c.Assert(err, qt.IsNil)
	}
	close(w.unblock)
	c.Assert(s.Close(), qt.IsNil)
	w.mu.Lock()
	defer w.mu.Unlock()
	text := w.written.String()
	c.Assert(strings.Contains(text, "event=log-dropped"), qt.IsTrue)
	kept, dropped := strings.Count(text, "xxx\n"), 0
	for _, l := range strings.Split(text, "\n") {
		n := 0
		if i := strings.Index(l, "lines="); i >= 0 {
			_, err := fmt.Sscan(l[i+len("lines="):], &n)
			c.Assert(err, qt.IsNil)
		}
		dropped += n
	}
	c.Assert(kept+dropped, qt.Equals, 10000)
	c.Assert(kept <= 20, qt.IsTrue, qt.Commentf("%d", kept))
}

func TestRateIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	w := &blockedWriter{unblock: make(chan struct{})}
	close(w.unblock)
	s := asynclog.New(asynclog.Options{Output: w, MaxBytes: 1 << 20, LinesPerSecond: 10, Burst: 20, Now: func() time.Time { return now }})
	for range 1000 {
		_, _ = s.Write([]byte("line\n"))
	}
	c.Assert(s.Close(), qt.IsNil)
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Assert(strings.Count(w.written.String(), "line\n"), qt.Equals, 20)
	c.Assert(strings.Contains(w.written.String(), "lines="), qt.IsTrue)
}
