package testscripts

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sequoialead/io/caller"
)

// stalledReadBuffer is the socket receive buffer of a stalled caller in bytes.
const stalledReadBuffer = 32 << 10

// stalledCaller is a caller that has read the header of its answer and nothing after
// it.
type stalledCaller struct {
	response *http.Response
}

// stallClient returns a client whose connections buffer little unread data, so that the
// entry's writes soon block.
func stallClient() *http.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(stalledReadBuffer)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}, Timeout: callTimeout}
}

// cmdStall starts streams whose answers are not read: stall N ENTRY PIPELINE.
func cmdStall(_ *testscript.TestScript, f *fleet, args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	e, err := f.entry(args[1])
	if err != nil {
		return err
	}
	client := stallClient()
	for i := range n {
		body := fmt.Sprintf(`{"text":"stall-%d","stream":true}`, i)
		request, err := http.NewRequest(http.MethodPost, "http://"+e.Addr.String()+"/v1/pipelines/"+args[2], strings.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+customerKey)
		response, err := client.Do(request) //nolint:bodyclose // closed by cmdUnstall
		if err != nil {
			return err
		}
		f.stalledCallers = append(f.stalledCallers, stalledCaller{response: response})
	}
	return nil
}

// cmdUnstall reads the stalled streams to the end. Each must have been cut by its
// entry, and none reported as done.
func cmdUnstall(_ *testscript.TestScript, f *fleet, _ []string) error {
	errs := make(chan error, len(f.stalledCallers))
	for _, s := range f.stalledCallers {
		go func() { errs <- s.expectCut() }()
	}
	for range f.stalledCallers {
		if err := <-errs; err != nil {
			return err
		}
	}
	f.stalledCallers = nil
	return nil
}

// expectCut reads the stream and returns an error unless the entry cut it without an
// event that reports it as done.
func (s stalledCaller) expectCut() error {
	raw, err := io.ReadAll(s.response.Body)
	_ = s.response.Body.Close()
	tokens := bytes.Count(raw, []byte("event: "+caller.EventToken+"\n"))
	switch {
	case bytes.Contains(raw, []byte("event: done\n")):
		return fmt.Errorf("stream reported as done after %d tokens", tokens)
	case !errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("stream not cut by the entry after %d tokens: %w", tokens, err)
	}
	return nil
}

// cmdFree waits until an entry has no request in flight.
func cmdFree(_ *testscript.TestScript, f *fleet, args []string) error {
	e, err := f.entry(args[0])
	if err != nil {
		return err
	}
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if inFlight, err := readMetric(e.Addr.String(), "sequoialead_requests_open"); err != nil || inFlight == 0 {
			return err
		}
	}
	return fmt.Errorf("%s still has requests in flight after %s", args[0], stopTimeout)
}
