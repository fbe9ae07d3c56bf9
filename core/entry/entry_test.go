package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/entry"
)

// script is how a fake agent answers one call.
type script func(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error)

// peer is a small fake of an agent.
type peer struct {
	name, domain string
	mu           sync.Mutex
	calls        []sequoialead.Call
	answer       script
	limit        int
}

func (p *peer) Hello() (sequoialead.Hello, bool) {
	return sequoialead.Hello{Name: p.name, Domain: p.domain}, true
}

func (p *peer) Candidate() (sequoialead.Candidate, bool) {
	return sequoialead.Candidate{Name: p.name, Domain: p.domain, At: time.Now(), Load: sequoialead.Load{Limit: p.limit}}, true
}

func (p *peer) Call(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
	p.mu.Lock()
	p.calls = append(p.calls, call)
	p.mu.Unlock()
	return p.answer(ctx, call, reply)
}

func (p *peer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls)
}

func (p *peer) Reconnecting() bool { return false }
func (p *peer) SetLeaving(bool)    {}
func (p *peer) Announce()          {}

func (p *peer) Bytes() (received, sent uint64) { return 0, 0 }
func (p *peer) Close() error                   { return nil }

func done(body string) script {
	return func(_ context.Context, _ sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		err := reply.Chunk([]byte(body))
		return sequoialead.End{Ending: sequoialead.EndDone, Status: 200, Count: 1}, err
	}
}

func ends(ending sequoialead.Ending, reason sequoialead.Reason) script {
	return func(context.Context, sequoialead.Call, sequoialead.Reply) (sequoialead.End, error) {
		return sequoialead.End{Ending: ending, Reason: reason}, nil
	}
}

func errs(err error) script {
	return func(context.Context, sequoialead.Call, sequoialead.Reply) (sequoialead.End, error) {
		return sequoialead.End{}, err
	}
}

// turns answers each call of any peer in turn, the last answer for good.
func turns(scripts ...script) script {
	var mu sync.Mutex
	return func(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		mu.Lock()
		next := scripts[0]
		if len(scripts) > 1 {
			scripts = scripts[1:]
		}
		mu.Unlock()
		return next(ctx, call, reply)
	}
}

type members map[string][]sequoialead.Peer

func (m members) Peers(pool string) []sequoialead.Peer { return m[pool] }

type configuration struct{ conf config.Config }

func (f *configuration) Current() (*config.Config, sequoialead.Version) { return &f.conf, 1 }

func stage(name string, op sequoialead.Op, idempotent bool) config.Stage {
	return config.Stage{Name: name, Pool: name, Op: op, Path: "/x", Idempotent: idempotent, Tokens: 4, Top: 2}
}

func newEntry(peers members, stages ...config.Stage) (*entry.Entry, *configuration) {
	conf := &configuration{conf: config.Config{
		Pipelines: map[string]config.Pipeline{"p": {Name: "p", Deadline: 2 * time.Second, Stages: stages}},
		Policy:    config.Policy{Router: config.RouterTwo, Early: true, Fair: true, Retries: 10, Eject: true},
	}}
	return entry.New(entry.Options{
		Name:          "e",
		Domain:        "d",
		Configuration: conf,
		Members:       peers,
		Log:           klog.Logger{},
		Random:        rand.New(rand.NewPCG(1, 1)),
		AnswerBytes:   1000,
	}), conf
}

func run(e *entry.Entry, customer string) sequoialead.Answer {
	request := sequoialead.Request{Pipeline: "p", Customer: customer, Text: "t", Body: []byte(`{}`)}
	return e.Run(context.Background(), request, config.Customer{Name: customer, Share: 1}, 0, nil)
}

func TestOutcomes(t *testing.T) {
	lost := errs(sequoialead.ErrLost.New("x"))
	unsent := errs(sequoialead.ErrUnsent.New("x"))
	full := ends(sequoialead.EndRefused, sequoialead.ReasonFull)
	failed := ends(sequoialead.EndFailed, sequoialead.ReasonBackend)
	whole := done(`{"a":1}`)
	tests := []struct {
		desc       string
		idempotent bool
		answer     script
		want       sequoialead.Outcome
		calls      int
	}{
		{"whole", false, whole, sequoialead.OutcomeDone, 1},
		{"refused, then whole", false, turns(full, whole), sequoialead.OutcomeDone, 2},
		{"not sent, then whole", false, turns(unsent, whole), sequoialead.OutcomeDone, 2},
		{"lost, not idempotent", false, turns(lost, whole), sequoialead.OutcomeUnknown, 1},
		{"lost, idempotent", true, turns(lost, whole), sequoialead.OutcomeDone, 2},
		{"end lost by the agent", false, turns(ends(sequoialead.EndLost, ""), whole), sequoialead.OutcomeUnknown, 1},
		{"failed, not idempotent", false, turns(failed, whole), sequoialead.OutcomeFailed, 1},
		{"failed, idempotent", true, turns(failed, whole), sequoialead.OutcomeDone, 2},
		{"failed for good", true, failed, sequoialead.OutcomeFailed, 4},
		{"refused after a loss", true, turns(lost, full, whole), sequoialead.OutcomeDone, 3},
		{"unreadable, not idempotent", false, done(`{`), sequoialead.OutcomeFailed, 1},
		{"too large", false, done(strings.Repeat("x", 2000)), sequoialead.OutcomeUnknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			p := &peer{name: "x", limit: 4, answer: tt.answer}
			e, _ := newEntry(members{"s": {p}}, stage("s", sequoialead.OpInvoke, tt.idempotent))
			got := run(e, "c")
			c.Assert(got.Outcome, qt.Equals, tt.want, qt.Commentf("%+v", got))
			c.Assert(p.count(), qt.Equals, tt.calls)
		})
	}
}

// A request is told as not run only if no stage of it was ever started.
func TestNotRunOnlyBeforeTheFirstStage(t *testing.T) {
	c := qt.New(t)
	first := &peer{name: "x", limit: 4, answer: done(`{}`)}
	second := &peer{name: "y", limit: 4, answer: ends(sequoialead.EndRefused, sequoialead.ReasonFull)}
	e, conf := newEntry(members{"a": {first}, "b": {second}}, stage("a", sequoialead.OpInvoke, true), stage("b", sequoialead.OpInvoke, true))
	p := conf.conf.Pipelines["p"]
	p.Deadline = 100 * time.Millisecond
	conf.conf.Pipelines["p"] = p
	got := run(e, "c")
	c.Assert(got.Outcome, qt.Equals, sequoialead.OutcomeFailed)
	c.Assert(got.Stages[0].State, qt.Equals, sequoialead.StageDone)
	c.Assert(got.Stages[1].State, qt.Equals, sequoialead.StageNotRun)
}

func TestRefusesWithoutAgents(t *testing.T) {
	tests := []struct {
		desc  string
		setup func(*configuration)
		want  sequoialead.Outcome
	}{
		{"in", func(*configuration) {}, sequoialead.OutcomeDone},
		{"domain out", func(f *configuration) { f.conf.Out = map[string]bool{"d": true} }, sequoialead.OutcomeNotRun},
		{"drained", func(f *configuration) { f.conf.Drained = map[string]bool{"x": true} }, sequoialead.OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			p := &peer{name: "x", domain: "d", limit: 4, answer: done(`{}`)}
			e, conf := newEntry(members{"s": {p}}, stage("s", sequoialead.OpInvoke, false))
			tt.setup(conf)
			c.Assert(run(e, "c").Outcome, qt.Equals, tt.want)
		})
	}
}

// A generation that is cut goes on elsewhere from the tokens that arrived.
func TestGenerationResumes(t *testing.T) {
	c := qt.New(t)
	cut := func(_ context.Context, _ sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		for i := range 3 {
			if err := reply.Chunk([]byte(fmt.Sprint(" ", i))); err != nil {
				return sequoialead.End{}, err
			}
		}
		return sequoialead.End{Ending: sequoialead.EndLost}, nil
	}
	p := &peer{name: "x", limit: 4, answer: turns(cut, done(" 3"))}
	e, _ := newEntry(members{"s": {p}}, stage("s", sequoialead.OpGenerate, true))
	got := run(e, "c")
	c.Assert(got.Outcome, qt.Equals, sequoialead.OutcomeDone)
	c.Assert(got.Text, qt.Equals, " 0 1 2 3")
	var second struct {
		Prompt string `json:"prompt"`
		Tokens int    `json:"max_tokens"`
	}
	c.Assert(json.Unmarshal(p.calls[1].Body, &second), qt.IsNil)
	c.Assert(second.Prompt, qt.Equals, "t 0 1 2")
	c.Assert(second.Tokens, qt.Equals, 1)
}

// Agents are given no more than their limit, and a heavy customer leaves the
// others their share.
func TestFairSharesWhenFull(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	running, most := 0, 0
	order := make(chan string, 100)
	release := make(chan struct{})
	p := &peer{name: "x", limit: 1}
	p.answer = func(_ context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		mu.Lock()
		running++
		most = max(most, running)
		mu.Unlock()
		order <- call.Customer
		<-release
		mu.Lock()
		running--
		mu.Unlock()
		return done(`{}`)(context.Background(), call, reply)
	}
	e, _ := newEntry(members{"s": {p}}, stage("s", sequoialead.OpInvoke, false))
	var wait sync.WaitGroup
	start := func(customer string, n, waiting int) {
		for range n {
			wait.Go(func() { run(e, customer) })
		}
		for e.Waiting() != waiting {
			time.Sleep(100 * time.Microsecond)
		}
	}
	start("heavy", 12, 11)
	start("light", 3, 14)
	close(release)
	wait.Wait()
	close(order)
	light := 0
	for range 7 {
		if customer := <-order; customer == "light" {
			light++
		}
	}
	c.Assert(light, qt.Equals, 3, qt.Commentf("of the first seven"))
	c.Assert(most, qt.Equals, 1)
}

// A server that fails is left out after a few failures.
func TestEjectsAFailingServer(t *testing.T) {
	c := qt.New(t)
	bad := &peer{name: "bad", limit: 100, answer: ends(sequoialead.EndFailed, sequoialead.ReasonBackend)}
	good := &peer{name: "good", limit: 100, answer: done(`{}`)}
	e, _ := newEntry(members{"s": {bad, good}}, stage("s", sequoialead.OpInvoke, true))
	for range 200 {
		c.Assert(run(e, "c").Outcome, qt.Equals, sequoialead.OutcomeDone)
	}
	c.Assert(bad.count() < 10, qt.IsTrue, qt.Commentf("%d calls", bad.count()))
}

// A keyed non-idempotent request is refused where keys cannot be claimed.
func TestKeyedNeedsClaims(t *testing.T) {
	c := qt.New(t)
	p := &peer{name: "x", limit: 4, answer: done(`{}`)}
	e, _ := newEntry(members{"s": {p}}, stage("s", sequoialead.OpInvoke, false))
	request := sequoialead.Request{Pipeline: "p", Customer: "c", Key: "k", Body: []byte(`{}`)}
	got := e.Run(context.Background(), request, config.Customer{Name: "c", Share: 1}, 0, nil)
	c.Assert(got.Outcome, qt.Equals, sequoialead.OutcomeNotRun)
	c.Assert(got.Reason, qt.Equals, sequoialead.ReasonClaim)
	c.Assert(p.count(), qt.Equals, 0)
}
