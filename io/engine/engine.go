// Package engine is an HTTP client for backend servers: model engines,
// encoders, retrievers and rerankers with their usual JSON APIs, and plain
// services.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"sequoialead"
	"sequoialead/io/http1"
)

// Names of headers between agents and backend servers.
const (
	// HeaderBoot is the header with the ID of the backend server's current run,
	// which is new after each restart.
	HeaderBoot = "Boot"
	// HeaderFence is the header with the ID of the run that a call is meant for.
	// It is a fencing token: a backend server refuses a call with another ID
	// with the status 412.
	HeaderFence = "Fence"
	// HeaderTokens is the header with the number of tokens of an answer that is
	// not streamed.
	HeaderTokens = "Tokens"
)

// HealthPath is the path of the health check, which returns a Health.
const HealthPath = "/health"

const (
	// chunkBytes is the size of the chunks that a body is delivered in.
	chunkBytes = 16 << 10
	// maxEventBytes is the maximum size of an event, and of the answer to a health check.
	maxEventBytes = 64 << 10
	// maxHeadBytes is the maximum size of the head of an answer.
	maxHeadBytes = 32 << 10
	maxIdleConns = 256
	doneEvent    = "[DONE]"
	// defaultBootID stands for the run of a backend server that reports none.
	defaultBootID = "unnamed"
	// maxDetailBytes is the length to which the body of an error answer is cut
	// for the error message.
	maxDetailBytes = 256
	scannerBuffer  = 4 << 10
)

// Health is the body of the answer to a health check.
type Health struct {
	// Boot is the ID of the backend server's current run.
	Boot  string `json:"boot"`
	Model string `json:"model"`
}

// Completion is the data of an event of a streamed generation.
type Completion struct {
	Choices []Choice `json:"choices"`
}

// Choice is one of the alternatives of a generation. Only the first is used.
type Choice struct {
	Text string `json:"text"`
}

// Client is a client of a backend server.
type Client struct {
	addr netip.AddrPort
	// reusing reuses connections. It is used for probes and idempotent calls.
	reusing *http.Client
	// oneShot opens a connection for each call, so that a failure to connect
	// proves that the call was not run. It is used for all other calls.
	oneShot *http.Client
}

var _ sequoialead.Backend = (*Client)(nil)

// New returns a client of the backend server at an address.
func New(addr netip.AddrPort) *Client {
	reusing := http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes})
	oneShot := http1.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes})
	return &Client{addr: addr, reusing: &http.Client{Transport: reusing}, oneShot: &http.Client{Transport: oneShot}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.reusing.CloseIdleConnections()
	return nil
}

// Probe returns the backend server's identity. The error is ErrUnsent if the
// connection fails, ErrLost if there is no whole answer, and ErrFailed if the
// backend server is not healthy.
func (c *Client) Probe(ctx context.Context) (sequoialead.Boot, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(HealthPath), nil)
	if err != nil {
		return sequoialead.Boot{}, sequoialead.ErrSettings.Wrap(err, "backend server %s has no valid address; check 'backend'", c.addr)
	}
	response, err := c.reusing.Do(request)
	if err != nil {
		return sequoialead.Boot{}, sendError(err, c.addr)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return sequoialead.Boot{}, sequoialead.ErrFailed.New("backend server %s is not healthy (status %d); see its own logs", c.addr, response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if err != nil {
		return sequoialead.Boot{}, sequoialead.ErrLost.Wrap(err, "the answer of backend server %s to a health check was truncated; see its own logs", c.addr)
	}
	var h Health
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&h); err != nil || h.Boot == "" {
		h.Boot = defaultBootID
	}
	return sequoialead.Boot{ID: h.Boot, Model: h.Model}, nil
}

func (c *Client) url(path string) string { return "http://" + c.addr.String() + path }

func path(call sequoialead.Call) string {
	switch call.Op {
	case sequoialead.OpEmbed:
		return "/v1/embeddings"
	case sequoialead.OpSearch:
		return "/v1/search"
	case sequoialead.OpRerank:
		return "/v1/rerank"
	case sequoialead.OpGenerate:
		return "/v1/completions"
	}
	return call.Path
}

// Do runs a call and passes its answer to reply. The error is ErrUnsent if
// the call did not reach the backend server, ErrFenced if the backend server
// has restarted and has refused the call, ErrFailed if the call failed there,
// and ErrLost if it is unknown how the call ended. Errors of reply are returned
// as they are.
func (c *Client) Do(ctx context.Context, call sequoialead.Call, boot sequoialead.Boot, reply sequoialead.Reply) (sequoialead.End, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path(call)), bytes.NewReader(call.Body))
	if err != nil {
		return sequoialead.End{}, sequoialead.ErrUnsent.Wrap(err, "the call has no valid path; correct the stage's 'path'")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderFence, boot.ID)
	client := c.reusing
	if !call.Idempotent {
		client = c.oneShot
		request.GetBody = nil // keeps net/http from sending the request again
	}
	response, err := client.Do(request)
	if err != nil {
		return sequoialead.End{}, sendError(err, c.addr)
	}
	defer func() { _ = response.Body.Close() }()
	if err := c.checkStatus(call, response); err != nil {
		return sequoialead.End{}, err
	}
	if call.Op.Streams() {
		return deliverEvents(response.Body, reply)
	}
	return sequoialead.End{Status: response.StatusCode}, deliverBody(response.Body, reply)
}

// sendError returns the error for a failed request: ErrUnsent if the
// connection could not be opened, else ErrLost, because the request may have
// been received.
func sendError(err error, addr netip.AddrPort) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return sequoialead.ErrUnsent.Wrap(err, "cannot connect to backend server %s; start it or check 'backend'", addr)
	}
	return sequoialead.ErrLost.Wrap(err, "backend server %s did not answer; see its own logs", addr)
}

// checkStatus returns the error that an HTTP status stands for; nil if it is a
// success. For OpInvoke a status from 400 to 499 is part of the answer.
func (c *Client) checkStatus(call sequoialead.Call, response *http.Response) error {
	status := response.StatusCode
	switch {
	case status == http.StatusPreconditionFailed:
		return sequoialead.ErrFenced.New("backend server %s has restarted; the call will be retried", c.addr)
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		return sequoialead.ErrLost.New("a proxy in front of backend server %s answered %d; check whether the work was done before sending it again", c.addr, status)
	case status >= http.StatusInternalServerError || status >= http.StatusBadRequest && call.Op != sequoialead.OpInvoke:
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes)) // used only in the message
		return sequoialead.ErrFailed.New("backend server %s answered %d: %s; see its own logs", c.addr, status, strings.TrimSpace(string(detail)))
	}
	return nil
}

// deliverBody passes a body to reply in chunks of chunkBytes. Only io.EOF is the end of a
// body; net/http reports one that is truncated by io.ErrUnexpectedEOF.
func deliverBody(body io.Reader, reply sequoialead.Reply) error {
	for {
		chunk, n := make([]byte, chunkBytes), 0
		var err error
		for n < len(chunk) && err == nil {
			var read int
			read, err = body.Read(chunk[n:])
			n += read
		}
		if n > 0 {
			if chunkErr := reply.Chunk(chunk[:n]); chunkErr != nil {
				return chunkErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return sequoialead.ErrLost.Wrap(err, "the answer was truncated; see the backend server's own logs")
		}
	}
}

// deliverEvents passes the text of a streamed generation to reply, a chunk
// for each event.
func deliverEvents(body io.Reader, reply sequoialead.Reply) (sequoialead.End, error) {
	var end sequoialead.End
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, scannerBuffer), maxEventBytes)
	truncated := false // the current line has no end
	scanner.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		truncated = atEOF && bytes.IndexByte(data, '\n') < 0
		return bufio.ScanLines(data, atEOF)
	})
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneEvent {
			return end, nil
		}
		var c Completion
		err := json.Unmarshal([]byte(data), &c)
		if err != nil && truncated {
			return end, sequoialead.ErrLost.Wrap(err, "the stream ended inside an event; see the backend server's own logs")
		}
		if err != nil || len(c.Choices) == 0 {
			return end, sequoialead.ErrFailed.New("the backend server sent an event that is not a completion: %q; see its own logs", data[:min(len(data), maxDetailBytes)])
		}
		end.Tokens++
		if err := reply.Chunk([]byte(c.Choices[0].Text)); err != nil {
			return end, err
		}
	}
	return end, sequoialead.ErrLost.New("the stream ended before the event [DONE]; see the backend server's own logs")
}
