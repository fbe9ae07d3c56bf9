// Package asynclog writes log lines in the background, so that a slow or stalled
// output never blocks the process. Lines beyond a buffer size or a rate
// are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"
)

// Options configures a Writer.
type Options struct {
	Output io.Writer
	// MaxBytes is the capacity of the buffer in bytes.
	MaxBytes int
	// LinesPerSecond and Burst are the rate and size of the token bucket that limits
	// the lines.
	LinesPerSecond float64
	Burst          int
	Now            func() time.Time
}

// closeTimeout is how long Close waits for the output to accept the buffered lines.
const closeTimeout = 500 * time.Millisecond

// Writer is a buffered, rate-limited io.Writer for lines. It is safe for concurrent
// use.
type Writer struct {
	opts    Options
	tomb    tomb.Tomb
	limiter *rate.Limiter
	wake    chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
}

var _ io.Writer = (*Writer)(nil)

// New returns a Writer and starts its background goroutine, which Close stops.
func New(opts Options) *Writer {
	w := &Writer{opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.LinesPerSecond), opts.Burst), wake: make(chan struct{}, 1)}
	w.tomb.Go(w.run)
	return w
}

// Write buffers or drops one line. It does not wait for the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > w.opts.MaxBytes || !w.limiter.AllowN(w.opts.Now(), 1) {
		w.dropped++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines. It gives up after 500 ms if the output does not
// accept them, and always returns nil.
func (w *Writer) Close() error {
	w.tomb.Kill(nil)
	select {
	case <-w.tomb.Dead():
		return nil
	case <-time.After(closeTimeout):
		return nil // the output is stalled and the process is about to exit
	}
}

func (w *Writer) run() error {
	for {
		select {
		case <-w.wake:
			w.flush()
		case <-w.tomb.Dying():
			w.flush()
			return nil
		}
	}
}

// flush writes the buffered lines and then an event with the number of lines
// dropped since the last flush.
func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		note := fmt.Sprintf("time=%s severity=info event=log-dropped lines=%d\n", w.opts.Now().UTC().Format(time.RFC3339Nano), dropped)
		lines = append(lines, note...)
	}
	if len(lines) > 0 {
		_, _ = w.opts.Output.Write(lines) // a failure to log cannot be logged
	}
}
