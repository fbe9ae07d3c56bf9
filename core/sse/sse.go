// Package sse splits a stream of server-sent events into complete events. A
// stream that breaks can then be continued from another backend server, since the
// client never receives an incomplete event.
package sse

import "bytes"

// maxSkimmed is the number of bytes that Skim keeps of an incomplete event. It is enough to
// find the event's end.
const maxSkimmed = 16

// Splitter buffers incomplete events of one stream. It is not safe for concurrent
// use.
type Splitter struct {
	// partial holds the received part of an incomplete event, after the first returned
	// bytes, which the last call of Feed has returned.
	partial  []byte
	returned int
	// begun is set once there was a complete event.
	begun bool
	// lastID is the ID of the latest complete event that has one.
	lastID string
}

// New returns an empty Splitter.
func New() *Splitter { return &Splitter{} }

// Feed adds bytes of the stream and returns the events that are now complete. The
// returned slice is valid until the next call.
func (s *Splitter) Feed(data []byte) []byte {
	s.partial = append(s.partial[:0], s.partial[s.returned:]...)
	searched := max(len(s.partial)-maxSkimmed, 0)
	s.partial = append(s.partial, data...)
	s.returned = 0
	if end := completeLength(s.partial[searched:]); end > 0 {
		s.returned = searched + end
		s.begun = true
		s.updateLastID(s.partial[:s.returned])
	}
	return s.partial[:s.returned]
}

// Skim notes bytes of the stream that are passed on as they come, without holding back an
// incomplete event.
func (s *Splitter) Skim(data []byte) {
	s.partial = append(s.partial, data...)
	complete := completeLength(s.partial)
	s.begun = s.begun || complete > 0
	s.partial = s.partial[complete:]
	if len(s.partial) > maxSkimmed {
		s.partial = append(s.partial[:0], s.partial[len(s.partial)-maxSkimmed:]...)
	}
}

// Pending returns the number of bytes of the incomplete event; at most maxSkimmed after
// Skim.
func (s *Splitter) Pending() int { return len(s.partial) - s.returned }

// Begun reports whether there was a complete event.
func (s *Splitter) Begun() bool { return s.begun }

// LastID returns the ID of the latest complete event that has one, or an empty
// string.
func (s *Splitter) LastID() string { return s.lastID }

// completeLength returns the length of the complete events at the start of data. An
// empty line ends an event.
func completeLength(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// updateLastID sets lastID to the last ID in complete events, if there is one.
func (s *Splitter) updateLastID(complete []byte) {
	for len(complete) > 0 {
		start := bytes.LastIndexByte(complete[:len(complete)-1], '\n') + 1
		line := bytes.TrimRight(complete[start:], "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
			return
		}
		complete = complete[:start]
	}
}
