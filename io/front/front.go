// Package front sends requests to entries as callers do, and measures the
// answers. Besides the client it exports what it sends and gets.
package front

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"sequoialead"
	"sequoialead/io/caller"
)

const (
	lineBytes = 8 << 20
	idleConns = 4096
)

// Request is what a caller sends.
type Request struct {
	Pipeline string
	// Key is the customer's key, Once the idempotency key or empty.
	Key  string
	Once string
	Body caller.Body
}

// Result is what the caller got.
type Result struct {
	Answer caller.Answer
	// First is when the first piece of a streamed text came.
	First time.Time
	// Gaps are the times between the pieces of a streamed text.
	Gaps []time.Duration
}

// Front speaks to entries.
type Front struct {
	http *http.Client
}

// New returns a client.
func New() *Front {
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &Front{http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (f *Front) Close() error {
	f.http.CloseIdleConnections()
	return nil
}

// Send sends a request to an entry and reads its whole answer. An error means
// that the answer was cut or never came.
func (f *Front) Send(ctx context.Context, entry netip.AddrPort, request Request) (Result, error) {
	raw, err := json.Marshal(request.Body)
	if err != nil {
		return Result{}, sequoialead.ErrInvalid.Wrap(err, "the request cannot be encoded; give a JSON body")
	}
	url := "http://" + entry.String() + "/v1/pipelines/" + request.Pipeline
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return Result{}, sequoialead.ErrSettings.Wrap(err, "entry %s cannot be asked", entry)
	}
	r.Header.Set("Authorization", "Bearer "+request.Key)
	if request.Once != "" {
		r.Header.Set(caller.HeaderKey, request.Once)
	}
	response, err := f.http.Do(r)
	if err != nil {
		return Result{}, sequoialead.ErrLost.Wrap(err, "entry %s did not answer; ask another", entry)
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return events(response.Body)
	}
	var result Result
	if err := json.NewDecoder(response.Body).Decode(&result.Answer); err != nil {
		return result, sequoialead.ErrLost.Wrap(err, "the answer of entry %s was cut", entry)
	}
	return result, nil
}

// events reads a streamed answer, whose text it joins.
func events(body io.Reader) (Result, error) {
	var result Result
	var text strings.Builder
	var last time.Time
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, lineBytes)
	name := ""
	for scanner.Scan() {
		if event, ok := strings.CutPrefix(scanner.Text(), "event: "); ok {
			name = event
			continue
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if name != caller.EventToken {
			if err := json.Unmarshal([]byte(data), &result.Answer); err != nil {
				return result, sequoialead.ErrProtocol.Wrap(err, "the last event cannot be read")
			}
			result.Answer.Text = text.String()
			return result, nil
		}
		var token caller.Token
		if err := json.Unmarshal([]byte(data), &token); err != nil {
			return result, sequoialead.ErrProtocol.Wrap(err, "an event cannot be read")
		}
		text.WriteString(token.Text)
		now := time.Now()
		if result.First.IsZero() {
			result.First = now
		} else {
			result.Gaps = append(result.Gaps, now.Sub(last))
		}
		last = now
	}
	return result, sequoialead.ErrLost.New("the stream ended before its last event")
}
