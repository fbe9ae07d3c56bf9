// Package front is a client of the entries' HTTP API for callers that
// measures the timing of answers. Load generators and tests use it.
package front

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"sequoialead"
	"sequoialead/io/caller"
	"sequoialead/io/http1"
)

const (
	maxEventBytes = 8 << 20
	maxIdleConns  = 4096
)

// Request is a request to run a pipeline.
type Request struct {
	Pipeline string
	// Key is the customer's key, and IdempotencyKey the idempotency key; empty for
	// none.
	Key            string
	IdempotencyKey string
	Body           caller.Request
}

// Result is an answer and its timing.
type Result struct {
	Answer caller.Answer
	// FirstTokenAt is when the first token event of a stream arrived; zero if none
	// did.
	FirstTokenAt time.Time
	// TokenGaps are the times between consecutive token events of a stream.
	TokenGaps []time.Duration
}

// Client is a client of the API for callers.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	transport := http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true})
	return &Client{http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Send sends a request to an entry and reads its answer, streamed or not. The
// error is ErrLost if no answer came or it was truncated, ErrProtocol if an
// event is invalid, and ErrInvalid or ErrSettings if the request could not be
// created. An answer with an error status is no error.
func (c *Client) Send(ctx context.Context, entry netip.AddrPort, request Request) (Result, error) {
	raw, err := json.Marshal(request.Body)
	if err != nil {
		return Result{}, sequoialead.ErrInvalid.Wrap(err, "the request cannot be encoded; use valid JSON for its body")
	}
	url := "http://" + entry.String() + "/v1/pipelines/" + request.Pipeline
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return Result{}, sequoialead.ErrSettings.Wrap(err, "the URL for entry %s is invalid", entry)
	}
	r.Header.Set("Authorization", "Bearer "+request.Key)
	if request.IdempotencyKey != "" {
		r.Header.Set(caller.HeaderIdempotencyKey, request.IdempotencyKey)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return Result{}, sequoialead.ErrLost.Wrap(err, "entry %s did not answer; try another", entry)
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readEvents(response.Body)
	}
	var result Result
	if err := json.NewDecoder(response.Body).Decode(&result.Answer); err != nil {
		return result, sequoialead.ErrLost.Wrap(err, "the answer of entry %s was truncated or is not JSON", entry)
	}
	return result, nil
}

// readEvents reads a streamed answer and its timing. The Text of the answer
// is the joined text of all token events.
func readEvents(body io.Reader) (Result, error) {
	var result Result
	var text strings.Builder
	var lastToken time.Time
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	eventName := ""
	for scanner.Scan() {
		if event, ok := strings.CutPrefix(scanner.Text(), "event: "); ok {
			eventName = event
			continue
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if eventName != caller.EventToken {
			if err := json.Unmarshal([]byte(data), &result.Answer); err != nil {
				return result, sequoialead.ErrProtocol.Wrap(err, "the last event of the stream cannot be decoded")
			}
			result.Answer.Text = text.String()
			return result, nil
		}
		var token caller.TokenEvent
		if err := json.Unmarshal([]byte(data), &token); err != nil {
			return result, sequoialead.ErrProtocol.Wrap(err, "a token event of the stream cannot be decoded")
		}
		text.WriteString(token.Text)
		now := time.Now()
		if result.FirstTokenAt.IsZero() {
			result.FirstTokenAt = now
		} else {
			result.TokenGaps = append(result.TokenGaps, now.Sub(lastToken))
		}
		lastToken = now
	}
	return result, sequoialead.ErrLost.New("the stream ended before its last event")
}
