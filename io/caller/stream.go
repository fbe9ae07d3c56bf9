package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"sequoialead"
)

// writeGrace is how long the end of an answer may take after the request's
// time.
const writeGrace = time.Second

// EventToken is the name of the events that carry text. Any other event is the
// last one, named after the outcome.
const EventToken = "token"

// Token is the data of a token event.
type Token struct {
	Text string `json:"text"`
}

// stream sends an answer as server-sent events. The status is sent with the
// first token, so that a request refused before that is told by its status.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
	// buffer holds the event that is being written by encoder.
	buffer  bytes.Buffer
	encoder *json.Encoder
}

var _ sequoialead.Sink = (*stream)(nil)

func newStream(w http.ResponseWriter) *stream {
	s := &stream{w: w, control: http.NewResponseController(w)}
	s.encoder = json.NewEncoder(&s.buffer)
	return s
}

func (s *stream) begin() {
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// Token sends a piece of text.
func (s *stream) Token(text []byte) error {
	if !s.begun {
		s.begin()
	}
	return s.event(EventToken, Token{Text: string(text)})
}

// event writes an event, which may stay in the connection's buffer.
func (s *stream) event(name string, value any) error {
	s.buffer.Reset()
	s.buffer.WriteString("event: ")
	s.buffer.WriteString(name)
	s.buffer.WriteString("\ndata: ")
	if err := s.encoder.Encode(value); err != nil { // ends with a line feed
		return err
	}
	s.buffer.WriteByte('\n')
	_, err := s.w.Write(s.buffer.Bytes())
	return err
}

// Flush sends the events in the connection's buffer.
func (s *stream) Flush() error { return s.control.Flush() }

// end sends the last event, which tells whether the answer is whole.
func (s *stream) end(a sequoialead.Answer) {
	if !s.begun && a.Outcome != sequoialead.OutcomeDone {
		respond(s.w, a)
		return
	}
	if !s.begun {
		s.begin()
	}
	answer := wire(a)
	answer.Text = "" // sent in token events
	if s.event(string(a.Outcome), answer) == nil {
		_ = s.Flush() // client gone
	}
}
