// Package logfmt provides a klog logger that writes each event as one line of
// key=value pairs.
package logfmt

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"
)

// Sink is a logr.LogSink that writes lines of key=value pairs. It and the sinks
// derived from it may be used concurrently.
type Sink struct {
	out *lockedWriter
	// level is the highest verbosity that is written.
	level int
	pairs []any
	name  string
	now   func() time.Time
}

type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

var _ logr.LogSink = (*Sink)(nil)

// New returns a logger that writes errors, and events up to the given verbosity.
// Each event is one call of w.Write. Write errors are ignored.
func New(w io.Writer, level int, now func() time.Time) klog.Logger {
	return klog.New(&Sink{out: &lockedWriter{w: w}, level: level, now: now})
}

// Init implements logr.LogSink. It does nothing, since the lines do not contain the
// call site.
func (s *Sink) Init(logr.RuntimeInfo) {}

// Enabled reports whether events of the given verbosity are written.
func (s *Sink) Enabled(level int) bool { return level <= s.level }

// Info writes an event with severity=info.
func (s *Sink) Info(level int, event string, pairs ...any) {
	s.write("info", event, append([]any{"level", level}, pairs...))
}

// Error writes an event with severity=error, whatever the verbosity.
func (s *Sink) Error(err error, event string, pairs ...any) {
	s.write("error", event, append([]any{"err", err}, pairs...))
}

// WithValues returns a sink that adds the given key-value pairs to each event.
func (s *Sink) WithValues(pairs ...any) logr.LogSink {
	next := *s
	next.pairs = append(append([]any(nil), s.pairs...), pairs...)
	return &next
}

// WithName returns a sink that adds a name to each event. It replaces the name of
// this sink.
func (s *Sink) WithName(name string) logr.LogSink {
	next := *s
	next.name = name
	return &next
}

func (s *Sink) write(severity, event string, pairs []any) {
	var b bytes.Buffer
	b.WriteString("time=" + s.now().UTC().Format(time.RFC3339Nano))
	b.WriteString(" severity=" + severity)
	b.WriteString(" event=" + quote(event))
	if s.name != "" {
		b.WriteString(" name=" + quote(s.name))
	}
	for _, list := range [][]any{s.pairs, pairs} {
		for i := 0; i+1 < len(list); i += 2 {
			b.WriteString(" " + fmt.Sprint(list[i]) + "=" + quote(fmt.Sprint(list[i+1])))
		}
	}
	b.WriteByte('\n')
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	_, _ = s.out.w.Write(b.Bytes()) // a failure to log cannot be logged
}

func quote(text string) string {
	if text == "" || strings.ContainsAny(text, " \t\n\"=") {
		return strconv.Quote(text)
	}
	return text
}
