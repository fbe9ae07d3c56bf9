// Package sse splits a stream of server-sent events into complete events. A
// stream that breaks can then be continued from another backend server, since the
// client never receives an incomplete event.
package sse

import "bytes"

// Splitter buffers incomplete events of one stream. It is not safe for concurrent
// use.
type Splitter struct {
	// partial holds the received part of an incomplete event.
	partial []byte
	// lastID is the ID of the latest complete event that has one.
	lastID string
}

// New returns an empty Splitter.
func New() *Splitter { return &Splitter{} }

// Feed adds bytes of the stream and returns the events that are now complete. The
// returned slice is valid until the next call.
func (s *Splitter) Feed(data []byte) []byte {
	if len(s.partial) > 0 {
		s.partial = append(s.partial, data...)
		data = s.partial
	}
	end := completeLength(data)
	complete := data[:end]
	if end > 0 {
		s.updateLastID(complete)
	}
	s.partial = append([]byte(nil), data[end:]...)
	return complete
}

// Flush returns the bytes of an incomplete event and clears them.
func (s *Splitter) Flush() []byte {
	rest := s.partial
	s.partial = nil
	return rest
}

// Pending returns the number of bytes of the incomplete event.
func (s *Splitter) Pending() int { return len(s.partial) }

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
