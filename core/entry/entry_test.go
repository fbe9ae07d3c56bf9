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

// handler answers one call of a fake agent.
type handler func(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error)

// fakeAgent is an agent whose calls are answered by a handler.
type fakeAgent struct {
	name, domain string
	mu           sync.Mutex
	calls        []sequoialead.Call
	handler      handler
	limit        int
}

func (a *fakeAgent) Hello() (sequoialead.Hello, bool) {
	return sequoialead.Hello{Name: a.name, Domain: a.domain}, true
}

func (a *fakeAgent) Candidate() (sequoialead.Candidate, bool) {
	return sequoialead.Candidate{Name: a.name, Domain: a.domain, LoadTime: time.Now(), Load: sequoialead.Load{Limit: a.limit}}, true
}

func (a *fakeAgent) Call(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
	a.mu.Lock()
	a.calls = append(a.calls, call)
	a.mu.Unlock()
	return a.handler(ctx, call, reply)
}

func (a *fakeAgent) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls)
}

func (a *fakeAgent) Reconnecting() bool { return false }
func (a *fakeAgent) SetLeaving(bool)    {}
func (a *fakeAgent) AnnounceVersion()   {}

func (a *fakeAgent) Bytes() (received, sent uint64) { return 0, 0 }
func (a *fakeAgent) Close() error                   { return nil }

func respond(body string) handler {
	return func(_ context.Context, _ sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		err := reply.Chunk([]byte(body))
		return sequoialead.End{Ending: sequoialead.EndDone, Status: 200, Count: 1}, err
	}
}

func endWith(ending sequoialead.Ending, reason sequoialead.Reason) handler {
	return func(context.Context, sequoialead.Call, sequoialead.Reply) (sequoialead.End, error) {
		return sequoialead.End{Ending: ending, Reason: reason}, nil
	}
}

func failWith(err error) handler {
	return func(context.Context, sequoialead.Call, sequoialead.Reply) (sequoialead.End, error) {
		return sequoialead.End{}, err
	}
}

// inSequence answers successive calls with successive handlers. The last one
// answers all further calls.
func inSequence(handlers ...handler) handler {
	var mu sync.Mutex
	return func(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		mu.Lock()
		next := handlers[0]
		if len(handlers) > 1 {
			handlers = handlers[1:]
		}
		mu.Unlock()
		return next(ctx, call, reply)
	}
}

type fakeMembers map[string][]sequoialead.AgentClient

func (m fakeMembers) Agents(pool string) []sequoialead.AgentClient { return m[pool] }

type fakeConfiguration struct{ conf config.Config }

func (f *fakeConfiguration) Current() (*config.Config, sequoialead.Version) { return &f.conf, 1 }

func stage(name string, op sequoialead.Op, idempotent bool) config.Stage {
	return config.Stage{Name: name, Pool: name, Op: op, Path: "/x", Idempotent: idempotent, MaxTokens: 4, MaxResults: 2}
}

func newEntry(agents fakeMembers, stages ...config.Stage) (*entry.Entry, *fakeConfiguration) {
	conf := &fakeConfiguration{conf: config.Config{
		Pipelines: map[string]config.Pipeline{"p": {Name: "p", Deadline: 2 * time.Second, Stages: stages}},
		Policy:    config.Policy{Router: config.RouterTwoChoices, RejectLate: true, FairShare: true, RetryPercent: 10, EjectOutliers: true},
	}}
	return entry.New(entry.Options{
		Name:           "e",
		Domain:         "d",
		Configuration:  conf,
		Members:        agents,
		Log:            klog.Logger{},
		Random:         rand.New(rand.NewPCG(1, 1)),
		MaxAnswerBytes: 1000,
	}), conf
}

func run(e *entry.Entry, customer string) sequoialead.Answer {
	request := sequoialead.Request{Pipeline: "p", Customer: customer, Text: "t", Body: []byte(`{}`)}
	return e.Run(context.Background(), request, config.Customer{Name: customer, Weight: 1}, 0, nil)
}

func TestOutcomes(t *testing.T) {
	lost := failWith(sequoialead.ErrLost.New("x"))
	unsent := failWith(sequoialead.ErrUnsent.New("x"))
	full := endWith(sequoialead.EndRefused, sequoialead.ReasonFull)
	failed := endWith(sequoialead.EndFailed, sequoialead.ReasonBackend)
	done := respond(`{"a":1}`)
	tests := []struct {
		desc       string
		idempotent bool
		answer     handler
		want       sequoialead.Outcome
		calls      int
	}{
		{"done", false, done, sequoialead.OutcomeDone, 1},
		{"refused, then done", false, inSequence(full, done), sequoialead.OutcomeDone, 2},
		{"not sent, then done", false, inSequence(unsent, done), sequoialead.OutcomeDone, 2},
		{"lost, not idempotent", false, inSequence(lost, done), sequoialead.OutcomeUnknown, 1},
		{"lost, idempotent", true, inSequence(lost, done), sequoialead.OutcomeDone, 2},
		{"end reported as lost by the agent", false, inSequence(endWith(sequoialead.EndLost, ""), done), sequoialead.OutcomeUnknown, 1},
		{"failed, not idempotent", false, inSequence(failed, done), sequoialead.OutcomeFailed, 1},
		{"failed, idempotent", true, inSequence(failed, done), sequoialead.OutcomeDone, 2},
		{"failed at every attempt", true, failed, sequoialead.OutcomeFailed, 4},
		{"refused after a loss", true, inSequence(lost, full, done), sequoialead.OutcomeDone, 3},
		{"unreadable, not idempotent", false, respond(`{`), sequoialead.OutcomeFailed, 1},
		{"too large", false, respond(strings.Repeat("x", 2000)), sequoialead.OutcomeUnknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			agent := &fakeAgent{name: "x", limit: 4, handler: tt.answer}
			e, _ := newEntry(fakeMembers{"s": {agent}}, stage("s", sequoialead.OpInvoke, tt.idempotent))
			got := run(e, "c")
			c.Assert(got.Outcome, qt.Equals, tt.want, qt.Commentf("%+v", got))
			c.Assert(agent.count(), qt.Equals, tt.calls)
		})
	}
}

// A request is reported as not run only if none of its stages was started: here
// the second stage is refused after the first one was done.
func TestNotRunOnlyBeforeTheFirstStage(t *testing.T) {
	c := qt.New(t)
	first := &fakeAgent{name: "x", limit: 4, handler: respond(`{}`)}
	second := &fakeAgent{name: "y", limit: 4, handler: endWith(sequoialead.EndRefused, sequoialead.ReasonFull)}
	e, conf := newEntry(fakeMembers{"a": {first}, "b": {second}}, stage("a", sequoialead.OpInvoke, true), stage("b", sequoialead.OpInvoke, true))
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
		setup func(*fakeConfiguration)
		want  sequoialead.Outcome
	}{
		{"available", func(*fakeConfiguration) {}, sequoialead.OutcomeDone},
		{"domain out", func(f *fakeConfiguration) { f.conf.EvacuatedDomains = map[string]bool{"d": true} }, sequoialead.OutcomeNotRun},
		{"drained", func(f *fakeConfiguration) { f.conf.DrainedBackends = map[string]bool{"x": true} }, sequoialead.OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			agent := &fakeAgent{name: "x", domain: "d", limit: 4, handler: respond(`{}`)}
			e, conf := newEntry(fakeMembers{"s": {agent}}, stage("s", sequoialead.OpInvoke, false))
			tt.setup(conf)
			c.Assert(run(e, "c").Outcome, qt.Equals, tt.want)
		})
	}
}

// A generation that is lost midway is retried with a prompt that ends with the
// tokens received so far, and asks only for the remaining ones.
func TestGenerationResumes(t *testing.T) {
	c := qt.New(t)
	interrupted := func(_ context.Context, _ sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		for i := range 3 {
			if err := reply.Chunk([]byte(fmt.Sprint(" ", i))); err != nil {
				return sequoialead.End{}, err
			}
		}
		return sequoialead.End{Ending: sequoialead.EndLost}, nil
	}
	agent := &fakeAgent{name: "x", limit: 4, handler: inSequence(interrupted, respond(" 3"))}
	e, _ := newEntry(fakeMembers{"s": {agent}}, stage("s", sequoialead.OpGenerate, true))
	got := run(e, "c")
	c.Assert(got.Outcome, qt.Equals, sequoialead.OutcomeDone)
	c.Assert(got.Text, qt.Equals, " 0 1 2 3")
	var second struct {
		Prompt string `json:"prompt"`
		Tokens int    `json:"max_tokens"`
	}
	c.Assert(json.Unmarshal(agent.calls[1].Body, &second), qt.IsNil)
	c.Assert(second.Prompt, qt.Equals, "t 0 1 2")
	c.Assert(second.Tokens, qt.Equals, 1)
}

// An agent is never sent more calls than its limit, and a customer with many
// queued requests leaves another customer its share of the capacity.
func TestFairSharesWhenFull(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	running, maxRunning := 0, 0
	order := make(chan string, 100)
	release := make(chan struct{})
	agent := &fakeAgent{name: "x", limit: 1}
	agent.handler = func(_ context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		mu.Lock()
		running++
		maxRunning = max(maxRunning, running)
		mu.Unlock()
		order <- call.Customer
		<-release
		mu.Lock()
		running--
		mu.Unlock()
		return respond(`{}`)(context.Background(), call, reply)
	}
	e, _ := newEntry(fakeMembers{"s": {agent}}, stage("s", sequoialead.OpInvoke, false))
	var wait sync.WaitGroup
	start := func(customer string, n, queued int) {
		for range n {
			wait.Go(func() { run(e, customer) })
		}
		for e.Queued() != queued {
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
	c.Assert(light, qt.Equals, 3, qt.Commentf("of the first seven calls"))
	c.Assert(maxRunning, qt.Equals, 1)
}

// An agent whose calls keep failing is ejected after a few of them.
func TestEjectsAFailingServer(t *testing.T) {
	c := qt.New(t)
	bad := &fakeAgent{name: "bad", limit: 100, handler: endWith(sequoialead.EndFailed, sequoialead.ReasonBackend)}
	good := &fakeAgent{name: "good", limit: 100, handler: respond(`{}`)}
	e, _ := newEntry(fakeMembers{"s": {bad, good}}, stage("s", sequoialead.OpInvoke, true))
	for range 200 {
		c.Assert(run(e, "c").Outcome, qt.Equals, sequoialead.OutcomeDone)
	}
	c.Assert(bad.count() < 10, qt.IsTrue, qt.Commentf("%d calls", bad.count()))
}

// A request with an idempotency key for a pipeline that is not idempotent is
// refused if the entry cannot claim keys.
func TestRefusesKeyWithoutClaims(t *testing.T) {
	c := qt.New(t)
	agent := &fakeAgent{name: "x", limit: 4, handler: respond(`{}`)}
	e, _ := newEntry(fakeMembers{"s": {agent}}, stage("s", sequoialead.OpInvoke, false))
	request := sequoialead.Request{Pipeline: "p", Customer: "c", Key: "k", Body: []byte(`{}`)}
	got := e.Run(context.Background(), request, config.Customer{Name: "c", Weight: 1}, 0, nil)
	c.Assert(got.Outcome, qt.Equals, sequoialead.OutcomeNotRun)
	c.Assert(got.Reason, qt.Equals, sequoialead.ReasonClaim)
	c.Assert(agent.count(), qt.Equals, 0)
}
