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

// outcomeCut is that of a call whose entry went away before its answer's end.
const outcomeCut = "cut"

// call is one request with what came of it.
type call struct {
	id       string
	pipeline string
	key      string
	// shared is set where other calls bear the same work, so that a run may be
	// theirs.
	shared   bool
	stream   bool
	deadline string
	outcome  string
	answer   caller.Answer
	detail   string
}

// group is a set of calls that were made together.
type group struct {
	calls []*call
	done  sync.WaitGroup
}

func (g *group) count(outcome string) int {
	n := 0
	for _, c := range g.calls {
		if c.outcome == outcome {
			n++
		}
	}
	return n
}

func (g *group) String() string {
	counts := map[string]int{}
	for _, c := range g.calls {
		counts[strings.TrimSpace(c.outcome+" "+string(c.answer.Reason))]++
	}
	return fmt.Sprint(counts)
}

// order describes the calls to make.
type order struct {
	n, at    int
	entries  []netip.AddrPort
	pipeline string
	key      string
	stream   bool
	deadline string
	// pause is waited between two calls of one worker.
	pause time.Duration
	// quit is when the caller goes away.
	quit time.Duration
	// balanced calls go only to entries that are ready.
	balanced bool
}

const balancerPeriod = 200 * time.Millisecond

// balancer is a stand-in for the platform's: it sends calls in turn to the
// entries that were ready when it last looked.
type balancer struct {
	mu    sync.Mutex
	ready []netip.AddrPort
	turn  int
}

func (b *balancer) pick() netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	return b.ready[b.turn%len(b.ready)]
}

func (b *balancer) look(all []netip.AddrPort) {
	client := &http.Client{Timeout: balancerPeriod}
	var ready []netip.AddrPort
	for _, e := range all {
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

// watch looks at the entries until the calls are done.
func (b *balancer) watch(all []netip.AddrPort, done <-chan struct{}) {
	ticker := time.NewTicker(balancerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			b.look(all)
		}
	}
}

// launch makes calls, a number of them at a time, until all are done.
func (f *fleet) launch(o order) *group {
	g := &group{}
	f.mu.Lock()
	for range o.n {
		c := &call{id: fmt.Sprint("work-", len(f.calls)), pipeline: o.pipeline, stream: o.stream, deadline: o.deadline}
		switch {
		case o.key == "each":
			c.key = "key-" + c.id
		case o.key != "":
			c.key, c.id, c.shared = o.key, "shared-"+o.key, true
		}
		f.calls = append(f.calls, c)
		g.calls = append(g.calls, c)
	}
	f.mu.Unlock()
	o.work(g)
	return g
}

// work begins to make the calls of a group.
func (o order) work(g *group) {
	client := front.New()
	b := &balancer{ready: o.entries}
	over := make(chan struct{})
	if o.balanced {
		b.look(o.entries)
		go b.watch(o.entries, over)
	}
	work := make(chan int, len(g.calls))
	for i := range g.calls {
		work <- i
	}
	close(work)
	for range o.at {
		g.done.Add(1)
		go func() {
			defer g.done.Done()
			for i := range work {
				g.calls[i].run(client, b.pick(), o.quit)
				time.Sleep(o.pause)
			}
		}()
	}
	go func() {
		g.done.Wait()
		close(over)
	}()
}

func (c *call) run(client *front.Front, entry netip.AddrPort, quit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), quit)
	defer cancel()
	request := front.Request{
		Pipeline: c.pipeline,
		Key:      customerKey,
		Once:     c.key,
		Body:     caller.Body{Text: c.id, Stream: c.stream, Deadline: c.deadline},
	}
	request.Body.Body, _ = json.Marshal(map[string]string{"id": c.id})
	result, err := client.Send(ctx, entry, request)
	c.answer = result.Answer
	c.outcome = string(c.answer.Outcome)
	if err != nil {
		c.outcome, c.detail = outcomeCut, err.Error()
	}
}

// wrong returns what is wrong with an answer, given the runs that the backend
// servers recorded.
func (c *call) wrong(runs map[string]int) string {
	switch sequoialead.Outcome(c.outcome) {
	case sequoialead.OutcomeDone:
		return c.untrue()
	case sequoialead.OutcomeNotRun:
		for _, op := range []sequoialead.Op{sequoialead.OpEmbed, sequoialead.OpSearch, sequoialead.OpGenerate, sequoialead.OpInvoke} {
			if n := runs[string(op)+":"+c.id]; n > 0 && !c.shared {
				return fmt.Sprintf("told not run (%s), but %s ran %d times", c.answer.Reason, op, n)
			}
		}
	case sequoialead.OutcomeFailed, sequoialead.OutcomeUnknown, outcomeCut:
	default:
		return fmt.Sprintf("outcome %q is none", c.outcome)
	}
	return ""
}

// untrue returns why a whole answer is not that of its request.
func (c *call) untrue() string {
	if len(c.answer.Body) > 0 {
		var body struct{ ID string }
		if json.Unmarshal(c.answer.Body, &body) != nil || body.ID != c.id {
			return fmt.Sprintf("the answer is %s", c.answer.Body)
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
		return fmt.Sprintf("the text %q is not %q", c.answer.Text, want)
	}
	return ""
}
