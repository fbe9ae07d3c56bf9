package testscripts

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"sequoialead"
	fakeengine "sequoialead/fake/engine"
	"sequoialead/io/caller"
	"sequoialead/io/front"
)

const callTimeout = 30 * time.Second

// outcomeCut is the outcome of a call whose connection ended before its answer did,
// or that its caller cancelled.
const outcomeCut = "cut"

// call is one request and its result.
type call struct {
	id             string
	pipeline       string
	idempotencyKey string
	// sharedWork is set if other calls have the same work ID, so that a recorded run
	// may belong to one of them.
	sharedWork bool
	stream     bool
	deadline   string
	outcome    string
	answer     caller.Answer
	detail     string
}

// callGroup is the set of calls that one command of a scenario makes.
type callGroup struct {
	calls   []*call
	workers sync.WaitGroup
}

func (g *callGroup) count(outcome string) int {
	n := 0
	for _, c := range g.calls {
		if c.outcome == outcome {
			n++
		}
	}
	return n
}

func (g *callGroup) String() string {
	counts := map[string]int{}
	for _, c := range g.calls {
		counts[strings.TrimSpace(c.outcome+" "+string(c.answer.Reason))]++
	}
	return fmt.Sprint(counts)
}

// callSpec describes the calls of a group.
type callSpec struct {
	count, concurrency int
	entries            []netip.AddrPort
	pipeline           string
	idempotencyKey     string
	stream             bool
	deadline           string
	// interval is the pause between two calls of one worker.
	interval time.Duration
	// timeout is the time after which the caller cancels its call.
	timeout time.Duration
	// useBalancer sends calls only to entries that report ready.
	useBalancer bool
}

const balancerPeriod = 200 * time.Millisecond

// balancer is a stand-in for the platform's load balancer: it picks round-robin among
// the entries that were ready at the latest check, or at the last one that found any.
type balancer struct {
	mu    sync.Mutex
	ready []netip.AddrPort
	next  int
}

func (b *balancer) pick() netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) refresh(entries []netip.AddrPort) {
	client := &http.Client{Timeout: balancerPeriod}
	var ready []netip.AddrPort
	for _, e := range entries {
		response, err := client.Get("http://" + e.String() + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, e)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(ready) > 0 {
		b.ready = ready
	}
}

// watch checks the entries' health periodically until the calls are done.
func (b *balancer) watch(entries []netip.AddrPort, done <-chan struct{}) {
	ticker := time.NewTicker(balancerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			b.refresh(entries)
		}
	}
}

// launchCalls creates a group of calls and starts them in the background.
func (f *fleet) launchCalls(spec callSpec) *callGroup {
	g := &callGroup{}
	f.mu.Lock()
	for range spec.count {
		c := &call{id: fmt.Sprint("work-", len(f.calls)), pipeline: spec.pipeline, stream: spec.stream, deadline: spec.deadline}
		switch {
		case spec.idempotencyKey == "each":
			c.idempotencyKey = "key-" + c.id
		case spec.idempotencyKey != "":
			c.idempotencyKey, c.id, c.sharedWork = spec.idempotencyKey, "shared-"+spec.idempotencyKey, true
		}
		f.calls = append(f.calls, c)
		g.calls = append(g.calls, c)
	}
	f.mu.Unlock()
	spec.startCalls(g)
	return g
}

// startCalls starts workers that make the calls of a group, and returns at once.
func (s callSpec) startCalls(g *callGroup) {
	client := front.New()
	b := &balancer{ready: s.entries}
	finished := make(chan struct{})
	if s.useBalancer {
		b.refresh(s.entries)
		go b.watch(s.entries, finished)
	}
	indexes := make(chan int, len(g.calls))
	for i := range g.calls {
		indexes <- i
	}
	close(indexes)
	for range s.concurrency {
		g.workers.Add(1)
		go func() {
			defer g.workers.Done()
			for i := range indexes {
				g.calls[i].send(client, b.pick(), s.timeout)
				time.Sleep(s.interval)
			}
		}()
	}
	go func() {
		g.workers.Wait()
		close(finished)
	}()
}

func (c *call) send(client *front.Client, entry netip.AddrPort, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request := front.Request{
		Pipeline:       c.pipeline,
		Key:            customerKey,
		IdempotencyKey: c.idempotencyKey,
		Body:           caller.Request{Text: c.id, Stream: c.stream, Deadline: c.deadline},
	}
	request.Body.Body, _ = json.Marshal(map[string]string{"id": c.id})
	result, err := client.Send(ctx, entry, request)
	c.answer = result.Answer
	c.outcome = string(c.answer.Outcome)
	if err != nil {
		c.outcome, c.detail = outcomeCut, err.Error()
	}
}

// violation describes how an answer contradicts the runs that the backend servers
// recorded, or its own request. It is empty if there is no contradiction.
func (c *call) violation(runs map[string]int) string {
	switch sequoialead.Outcome(c.outcome) {
	case sequoialead.OutcomeDone:
		return c.answerMismatch()
	case sequoialead.OutcomeNotRun:
		for _, op := range []sequoialead.Op{sequoialead.OpEmbed, sequoialead.OpSearch, sequoialead.OpGenerate, sequoialead.OpInvoke} {
			if n := runs[string(op)+":"+c.id]; n > 0 && !c.sharedWork {
				return fmt.Sprintf("reported as not-run (%s), but %s ran %d times", c.answer.Reason, op, n)
			}
		}
	case sequoialead.OutcomeFailed, sequoialead.OutcomeUnknown, outcomeCut:
	default:
		return fmt.Sprintf("unknown outcome %q", c.outcome)
	}
	return ""
}

// answerMismatch describes how a complete answer differs from the one that its
// request must get. It is empty if they are equal.
func (c *call) answerMismatch() string {
	if len(c.answer.Body) > 0 {
		var body struct{ ID string }
		if json.Unmarshal(c.answer.Body, &body) != nil || body.ID != c.id {
			return fmt.Sprintf("answer of another call: %s", c.answer.Body)
		}
	}
	if c.answer.Tokens == 0 && c.answer.Text == "" {
		return ""
	}
	prompt := ""
	for _, d := range c.answer.Documents {
		prompt += "text of " + d + "\n"
	}
	want := ""
	for i := range c.answer.Tokens {
		want += fakeengine.Token(prompt+c.id, i)
	}
	if c.answer.Text != want || c.answer.Tokens == 0 {
		return fmt.Sprintf("got text %q, want %q", c.answer.Text, want)
	}
	return ""
}
