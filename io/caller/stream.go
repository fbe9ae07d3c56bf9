package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"sequoialead"
)

// writeGrace is how long after the request's deadline the rest of the answer
// may be written.
const writeGrace = time.Second

// EventToken is the name of the events that carry text. Any other event is the
// last of its stream, has the outcome as its name, and an Answer as its data.
const EventToken = "token"

// TokenEvent is the data of a token event.
type TokenEvent struct {
	Text string `json:"text"`
}

// stream sends an answer as server-sent events. The HTTP status is sent with
// the first token, so that a request that fails before can get an error
// status.
type stream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// started is set once the status was sent.
	started bool
	// buffer holds the event being composed. The encoder writes to it.
	buffer  bytes.Buffer
	encoder *json.Encoder
}

var _ sequoialead.Sink = (*stream)(nil)

func newStream(w http.ResponseWriter) *stream {
	s := &stream{w: w, controller: http.NewResponseController(w)}
	s.encoder = json.NewEncoder(&s.buffer)
	return s
}

func (s *stream) start() {
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// Token writes a token event, which may be held back until Flush.
func (s *stream) Token(text []byte) error {
	if !s.started {
		s.start()
	}
	return s.writeEvent(EventToken, TokenEvent{Text: string(text)})
}

// writeEvent writes an event, which may be held in the connection's buffer.
func (s *stream) writeEvent(name string, value any) error {
	s.buffer.Reset()
	s.buffer.WriteString("event: ")
	s.buffer.WriteString(name)
	s.buffer.WriteString("\ndata: ")
	if err := s.encoder.Encode(value); err != nil { // Encode appends a line feed
		return err
	}
	s.buffer.WriteByte('\n')
	_, err := s.w.Write(s.buffer.Bytes())
	return err
}

// Flush sends the events held in the connection's buffer.
func (s *stream) Flush() error { return s.controller.Flush() }

// finish sends the last event, whose name is the outcome. If the status was
// not sent yet and the request was not completed, it sends a JSON answer
// instead.
func (s *stream) finish(a sequoialead.Answer) {
	if !s.started && a.Outcome != sequoialead.OutcomeDone {
		writeAnswer(s.w, a)
		return
	}
	if !s.started {
		s.start()
	}
	answer := toWire(a)
	answer.Text = "" // sent in token events
	if s.writeEvent(string(a.Outcome), answer) == nil {
		_ = s.Flush() // fails if the client has disconnected
	}
}
