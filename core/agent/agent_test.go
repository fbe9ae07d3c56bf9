package agent_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"go.uber.org/goleak"

	"sequoialead"
	"sequoialead/core/agent"
	"sequoialead/core/config"
	"sequoialead/core/protocol"
)

const testTimeout = 5 * time.Second

// fakeBackend is a backend server whose calls run until the test ends them with
// the method end, or until their context is done.
type fakeBackend struct {
	mu      sync.Mutex
	boot    sequoialead.Boot
	probes  int
	started []sequoialead.CallID
	ends    map[sequoialead.CallID]chan error
	arrived chan sequoialead.CallID
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{
		boot:    sequoialead.Boot{ID: "a"},
		ends:    map[sequoialead.CallID]chan error{},
		arrived: make(chan sequoialead.CallID, 100),
	}
}

func (b *fakeBackend) Probe(context.Context) (sequoialead.Boot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probes++
	return b.boot, nil
}

func (b *fakeBackend) Do(ctx context.Context, call sequoialead.Call, _ sequoialead.Boot, reply sequoialead.Reply) (sequoialead.End, error) {
	end := make(chan error, 1)
	b.mu.Lock()
	b.started = append(b.started, call.ID)
	b.ends[call.ID] = end
	b.mu.Unlock()
	b.arrived <- call.ID
	if err := reply.Chunk([]byte("chunk")); err != nil {
		return sequoialead.End{}, err
	}
	select {
	case err := <-end:
		return sequoialead.End{Status: 200}, err
	case <-ctx.Done():
		return sequoialead.End{}, sequoialead.ErrLost.Wrap(ctx.Err(), "call cancelled")
	}
}

func (b *fakeBackend) Close() error { return nil }

func (b *fakeBackend) end(id sequoialead.CallID, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends[id] <- err
}

func (b *fakeBackend) startedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.started)
}

// fakeSender is a connection to an entry. It records the messages sent.
type fakeSender struct {
	frames chan protocol.Frame
	done   chan struct{}
}

func newFakeSender() *fakeSender {
	return &fakeSender{frames: make(chan protocol.Frame, 1000), done: make(chan struct{})}
}

func (s *fakeSender) Send(f protocol.Frame) error {
	select {
	case <-s.done:
		return sequoialead.ErrClosed.New("connection closed")
	default:
	}
	s.frames <- f
	return nil
}

func (s *fakeSender) Peer() string { return "e" }

func (s *fakeSender) Done() <-chan struct{} { return s.done }

// end waits for the end of a call and returns it with the number of chunks
// received before it.
func (s *fakeSender) end(c *qt.C, id sequoialead.CallID) (sequoialead.End, int) {
	chunks := 0
	for {
		select {
		case f := <-s.frames:
			if f.Chunk != nil && f.Chunk.ID == id {
				chunks += len(f.Chunk.Data)
			}
			if f.End != nil && f.End.ID == id {
				return f.End.End, chunks
			}
		case <-time.After(testTimeout):
			c.Fatal("timed out waiting for the end of the call")
		}
	}
}

type fakeConfiguration struct {
	mu      sync.Mutex
	conf    config.Config
	missing bool
}

func (f *fakeConfiguration) Current() (*config.Config, sequoialead.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	conf := f.conf
	if f.missing {
		return &conf, 0
	}
	return &conf, 1
}

func (f *fakeConfiguration) set(change func(*config.Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.conf)
}

type fixture struct {
	agent   *agent.Agent
	backend *fakeBackend
	conf    *fakeConfiguration
	next    byte
}

func newFixture(c *qt.C) *fixture {
	leaks := goleak.IgnoreCurrent()
	b := &fixture{backend: newFakeBackend(), conf: &fakeConfiguration{}}
	b.conf.conf.Pools = map[string]config.Pool{"p": {WarmLimit: 8, ColdLimit: 2, QueueLimit: 4}}
	b.conf.conf.Policy.WarmUp = true
	a, err := agent.New(agent.Options{
		Name: "x", Pool: "p", Domain: "d", Backend: b.backend, Configuration: b.conf, MaxCalls: 100, MaxBytes: 10000,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(a.Start(context.Background()), qt.IsNil)
	b.agent = a
	c.Cleanup(func() {
		c.Check(a.Close(), qt.IsNil)
		c.Check(goleak.Find(leaks), qt.IsNil)
	})
	return b
}

func (b *fixture) newCall() sequoialead.Call {
	b.next++
	return sequoialead.Call{
		ID:          sequoialead.CallID{Request: uuid.UUID{b.next}},
		Incarnation: b.agent.Hello("e").Incarnation,
		Pool:        "p",
		Op:          sequoialead.OpInvoke,
		TimeLeft:    time.Minute,
		Idempotent:  true,
		Credit:      1000,
	}
}

func (b *fixture) awaitStart(c *qt.C) sequoialead.CallID {
	select {
	case id := <-b.backend.arrived:
		return id
	case <-time.After(testTimeout):
		c.Fatal("timed out waiting for a call at the backend server")
	}
	return sequoialead.CallID{}
}

func TestRefusesBeforeStart(t *testing.T) {
	tests := []struct {
		desc   string
		setup  func(*fixture)
		change func(*sequoialead.Call)
		want   sequoialead.Reason
	}{
		{desc: "domain out", setup: func(b *fixture) {
			b.conf.set(func(f *config.Config) { f.EvacuatedDomains = map[string]bool{"d": true} })
		}, want: sequoialead.ReasonDomain},
		{desc: "no configuration", setup: func(b *fixture) { b.conf.set(func(*config.Config) { b.conf.missing = true }) }, want: sequoialead.ReasonUnready},
		{desc: "drained", setup: func(b *fixture) {
			b.conf.set(func(f *config.Config) { f.DrainedBackends = map[string]bool{"x": true} })
		}, want: sequoialead.ReasonDisabled},
		{desc: "leaving", setup: func(b *fixture) { b.agent.Drain() }, want: sequoialead.ReasonLeaving},
		{desc: "leaving in the instance list", setup: func(b *fixture) { b.agent.HintLeaving() }, want: sequoialead.ReasonLeaving},
		{desc: "other incarnation", change: func(call *sequoialead.Call) { call.Incarnation = uuid.UUID{9} }, want: sequoialead.ReasonIncarnation},
		{desc: "other pool", change: func(call *sequoialead.Call) { call.Pool = "q" }, want: sequoialead.ReasonPool},
		{desc: "no time left", change: func(call *sequoialead.Call) { call.TimeLeft = -1 }, want: sequoialead.ReasonDeadline},
		{desc: "large body", change: func(call *sequoialead.Call) { call.Body = make([]byte, 20000) }, want: sequoialead.ReasonMemory},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			if tt.setup != nil {
				tt.setup(b)
			}
			call := b.newCall()
			if tt.change != nil {
				tt.change(&call)
			}
			s := newFakeSender()
			b.agent.Call(call, s)
			end, _ := s.end(c, call.ID)
			c.Assert(end.Ending, qt.Equals, sequoialead.EndRefused)
			c.Assert(end.Reason, qt.Equals, tt.want)
			c.Assert(b.backend.startedCount(), qt.Equals, 0)
		})
	}
}

func TestEndingFromBackendError(t *testing.T) {
	tests := []struct {
		desc string
		err  error
		want sequoialead.Ending
	}{
		{"not sent", sequoialead.ErrUnsent.New("x"), sequoialead.EndRefused},
		{"fenced", sequoialead.ErrFenced.New("x"), sequoialead.EndRefused},
		{"failed", sequoialead.ErrFailed.New("x"), sequoialead.EndFailed},
		{"lost", sequoialead.ErrLost.New("x"), sequoialead.EndLost},
		{"anything else", context.Canceled, sequoialead.EndLost},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			s := newFakeSender()
			b.agent.Call(b.newCall(), s)
			id := b.awaitStart(c)
			b.backend.end(id, tt.err)
			end, _ := s.end(c, id)
			c.Assert(end.Ending, qt.Equals, tt.want)
		})
	}
}

// A restarted backend server is sent no more calls than its cold limit. Calls sent
// to it before the agent detects the restart count towards the limit.
func TestColdLimitWhileOldCallsHang(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	s := newFakeSender()
	for range 14 {
		b.agent.Call(b.newCall(), s)
		id := b.awaitStart(c)
		b.backend.end(id, nil)
		s.end(c, id)
	}
	c.Assert(b.agent.Load("e").Limit, qt.Equals, 8)
	b.backend.mu.Lock()
	b.backend.boot = sequoialead.Boot{ID: "b"}
	b.backend.mu.Unlock()
	before := b.backend.startedCount()
	for range 8 {
		b.agent.Call(b.newCall(), s)
	}
	b.awaitStart(c)
	b.awaitStart(c)
	for deadline := time.Now().Add(testTimeout); b.agent.Load("e").Limit != 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(b.agent.Load("e").Limit, qt.Equals, 2)
	c.Assert(b.backend.startedCount()-before, qt.Equals, 2)
}

func TestQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	s := newFakeSender()
	for range 2 + 4 {
		b.agent.Call(b.newCall(), s)
	}
	b.awaitStart(c)
	b.awaitStart(c)
	call := b.newCall()
	b.agent.Call(call, s)
	end, _ := s.end(c, call.ID)
	c.Assert(end.Reason, qt.Equals, sequoialead.ReasonFull)
}

// When operators take the agent's failure domain out of service, queued calls are
// refused and running calls continue.
func TestDomainOutRefusesWaiting(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	s := newFakeSender()
	for range 2 {
		b.agent.Call(b.newCall(), s)
		b.awaitStart(c)
	}
	queued := b.newCall()
	b.agent.Call(queued, s)
	b.conf.set(func(f *config.Config) { f.EvacuatedDomains = map[string]bool{"d": true} })
	end, _ := s.end(c, queued.ID)
	c.Assert(end.Reason, qt.Equals, sequoialead.ReasonDomain)
	c.Assert(b.agent.Load("e").Running, qt.Equals, 2)
}
