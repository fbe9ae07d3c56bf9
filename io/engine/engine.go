// Package engine speaks to backend servers over HTTP: model engines, encoders,
// retrievers and rerankers in their customary JSON forms, and plain services.
// Besides the client it exports the forms of the bodies.
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
)

// Headers between agents and backend servers.
const (
	// HeaderBoot carries the identity of the backend server's life.
	HeaderBoot = "Boot"
	// HeaderFence names the life that an order is meant for.
	HeaderFence = "Fence"
	// HeaderTokens carries the number of tokens of an answer that is not streamed.
	HeaderTokens = "Tokens"
)

// HealthPath is where a backend server tells its identity.
const HealthPath = "/health"

const (
	pieceBytes    = 16 << 10
	lineBytes     = 1 << 20
	idleConns     = 256
	doneEvent     = "[DONE]"
	unnamedBoot   = "unnamed"
	detailBytes   = 256
	scannerBuffer = 4 << 10
)

// Health is the body of a backend server's answer to a probe.
type Health struct {
	Boot  string `json:"boot"`
	Model string `json:"model"`
}

// Completion is the body of one event of a streamed generation.
type Completion struct {
	Choices []Choice `json:"choices"`
}

// Choice is one alternative of a generation.
type Choice struct {
	Text string `json:"text"`
}

// Engine is one backend server.
type Engine struct {
	addr netip.AddrPort
	// kept reuses connections, for calls that may be repeated.
	kept *http.Client
	// fresh opens a connection for each call, so that a refused connection
	// proves that the call was not run.
	fresh *http.Client
}

var _ sequoialead.Backend = (*Engine)(nil)

// New returns the backend server at an address.
func New(addr netip.AddrPort) *Engine {
	kept := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	fresh := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Engine{addr: addr, kept: &http.Client{Transport: kept}, fresh: &http.Client{Transport: fresh}}
}

// Close drops idle connections.
func (e *Engine) Close() error {
	e.kept.CloseIdleConnections()
	return nil
}

// Probe asks for the backend server's identity.
func (e *Engine) Probe(ctx context.Context) (sequoialead.Boot, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url(HealthPath), nil)
	if err != nil {
		return sequoialead.Boot{}, sequoialead.ErrSettings.Wrap(err, "backend server %s cannot be asked; check 'backend'", e.addr)
	}
	response, err := e.kept.Do(request)
	if err != nil {
		return sequoialead.Boot{}, unreachable(err, e.addr)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return sequoialead.Boot{}, sequoialead.ErrFailed.New("backend server %s is not healthy (status %d); see its own logs", e.addr, response.StatusCode)
	}
	var h Health
	if err := json.NewDecoder(io.LimitReader(response.Body, lineBytes)).Decode(&h); err != nil || h.Boot == "" {
		h.Boot = unnamedBoot
	}
	return sequoialead.Boot{ID: h.Boot, Model: h.Model}, nil
}

func (e *Engine) url(path string) string { return "http://" + e.addr.String() + path }

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

// Do runs a call.
func (e *Engine) Do(ctx context.Context, call sequoialead.Call, boot sequoialead.Boot, reply sequoialead.Reply) (sequoialead.End, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url(path(call)), bytes.NewReader(call.Body))
	if err != nil {
		return sequoialead.End{}, sequoialead.ErrUnsent.Wrap(err, "the call has no valid path; correct the stage's 'path'")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderFence, boot.ID)
	client := e.kept
	if !call.Idempotent {
		client = e.fresh
		request.GetBody = nil // never sent twice by the client
	}
	response, err := client.Do(request)
	if err != nil {
		return sequoialead.End{}, unreachable(err, e.addr)
	}
	defer func() { _ = response.Body.Close() }()
	if err := e.check(call, response); err != nil {
		return sequoialead.End{}, err
	}
	if call.Op.Streams() {
		return stream(response.Body, reply)
	}
	return sequoialead.End{Status: response.StatusCode}, whole(response.Body, reply)
}

// unreachable tells a call that was surely not sent from one that may have been.
func unreachable(err error, addr netip.AddrPort) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return sequoialead.ErrUnsent.Wrap(err, "backend server %s takes no connections; start it or check 'backend'", addr)
	}
	return sequoialead.ErrLost.Wrap(err, "backend server %s did not answer; see its own logs", addr)
}

func (e *Engine) check(call sequoialead.Call, response *http.Response) error {
	status := response.StatusCode
	switch {
	case status == http.StatusPreconditionFailed:
		return sequoialead.ErrFenced.New("backend server %s has restarted; the call is tried again", e.addr)
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		return sequoialead.ErrLost.New("something before backend server %s answered %d; check the work's effect before sending it again", e.addr, status)
	case status >= http.StatusInternalServerError || status >= http.StatusBadRequest && call.Op != sequoialead.OpInvoke:
		detail, _ := io.ReadAll(io.LimitReader(response.Body, detailBytes)) // only for the message
		return sequoialead.ErrFailed.New("backend server %s answered %d: %s; see its own logs", e.addr, status, strings.TrimSpace(string(detail)))
	}
	return nil
}

// whole hands out a body in pieces.
func whole(body io.Reader, reply sequoialead.Reply) error {
	for {
		piece := make([]byte, pieceBytes)
		n, err := io.ReadFull(body, piece)
		if n > 0 {
			if rerr := reply.Chunk(piece[:n]); rerr != nil {
				return rerr
			}
		}
		switch err {
		case nil:
		case io.EOF, io.ErrUnexpectedEOF:
			return nil
		default:
			return sequoialead.ErrLost.Wrap(err, "the answer was cut; see the backend server's own logs")
		}
	}
}

// stream hands out a generation's text, one chunk for each event.
func stream(body io.Reader, reply sequoialead.Reply) (sequoialead.End, error) {
	var end sequoialead.End
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, scannerBuffer), lineBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneEvent {
			return end, nil
		}
		var c Completion
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			return end, sequoialead.ErrFailed.New("the backend server sent an event that is no completion: %q; see its own logs", data)
		}
		end.Tokens++
		if err := reply.Chunk([]byte(c.Choices[0].Text)); err != nil {
			return end, err
		}
	}
	return end, sequoialead.ErrLost.New("the stream ended before its last event; see the backend server's own logs")
}
