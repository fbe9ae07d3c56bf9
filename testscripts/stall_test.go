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

// stallBuffer is the size of a stalled caller's socket buffer in bytes.
const stallBuffer = 32 << 10

// stalled is a caller that has its answer's head and reads no further.
type stalled struct {
	response *http.Response
}

// stallClient returns a client whose connections hold little that is not read.
func stallClient() *http.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(stallBuffer)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}, Timeout: callTimeout}
}

// cmdStall begins streams that are not read: stall N ENTRY PIPELINE.
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
		f.stalls = append(f.stalls, stalled{response: response})
	}
	return nil
}

// cmdUnstall reads the stalled streams to their ends. Each must have been cut
// by its entry, and none told as done.
func cmdUnstall(_ *testscript.TestScript, f *fleet, _ []string) error {
	wrong := make(chan error, len(f.stalls))
	for _, s := range f.stalls {
		go func() { wrong <- s.read() }()
	}
	for range f.stalls {
		if err := <-wrong; err != nil {
			return err
		}
	}
	f.stalls = nil
	return nil
}

// read returns an error unless the entry cut the stream and did not tell it as
// done.
func (s stalled) read() error {
	raw, err := io.ReadAll(s.response.Body)
	_ = s.response.Body.Close()
	tokens := bytes.Count(raw, []byte("event: "+caller.EventToken+"\n"))
	switch {
	case bytes.Contains(raw, []byte("event: done\n")):
		return fmt.Errorf("told as done with %d tokens", tokens)
	case !errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("not cut by the entry after %d tokens: %w", tokens, err)
	}
	return nil
}

// cmdFree waits until an entry holds no open request.
func cmdFree(_ *testscript.TestScript, f *fleet, args []string) error {
	e, err := f.entry(args[0])
	if err != nil {
		return err
	}
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if open, err := readMetric(e.Addr.String(), "sequoialead_requests_open"); err != nil || open == 0 {
			return err
		}
	}
	return fmt.Errorf("%s still holds open requests after %s", args[0], stopTimeout)
}
