package watch_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/common/logfmt"
	"sequoialead/core/membership"
	"sequoialead/core/watch"
)

// revisionStore is a store with conditional appends.
type revisionStore struct {
	*store
	// beforePut is called before each conditional append; nil for nothing.
	beforePut func()
}

func (s *revisionStore) PutAt(_ context.Context, topic sequoialead.Topic, key string, value []byte, end uint64) (bool, sequoialead.Era, error) {
	if s.beforePut != nil {
		s.beforePut()
	}
	ok, era := false, sequoialead.Era(0)
	s.set(func() { ok, era = uint64(len(s.records[topic])) == end, s.era })
	if ok {
		s.put(topic, key, string(value))
	}
	return ok, era, nil
}

// wantingRollouts wants the state "running" of the pool "desk" until it was applied.
type wantingRollouts struct {
	mu      sync.Mutex
	applied string
}

func (r *wantingRollouts) ApplyOrder(string, *sequoialead.RolloutOrder, time.Time, bool) {}
func (r *wantingRollouts) Ordered() []string                                             { return nil }
func (r *wantingRollouts) Active() bool                                                  { return true }
func (r *wantingRollouts) StatusRead()                                                   {}
func (r *wantingRollouts) ApplyReport(string, []byte) error                              { return nil }
func (r *wantingRollouts) ReportsRead()                                                  {}
func (r *wantingRollouts) Record() ([]byte, error)                                       { return nil, nil }
func (r *wantingRollouts) Changed() <-chan struct{}                                      { return nil }

func (r *wantingRollouts) ApplyStatus(_, _, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = state
}

func (r *wantingRollouts) StatusLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = ""
}

func (r *wantingRollouts) Wanted() map[string][2]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.applied != "" {
		return nil
	}
	return map[string][2]string{"desk": {"v2", "running"}}
}

// rolloutDecoder decodes keys "rollout/POOL" and takes a state as it is.
type rolloutDecoder struct{}

func (rolloutDecoder) RolloutService(key string) (string, bool) {
	return strings.CutPrefix(key, "rollout/")
}

func (rolloutDecoder) RolloutOrder(string, []byte) (sequoialead.RolloutOrder, error) {
	return sequoialead.RolloutOrder{}, nil
}

func (rolloutDecoder) RolloutStatus(_ string, raw []byte) (target, state string, err error) {
	return "v2", string(raw), nil
}

func (rolloutDecoder) EncodeRolloutStatus(pool, _, state string) (key string, raw []byte, err error) {
	return "rollout/" + pool, []byte(state), nil
}

// Guards against the state of an order that is not written again after the store lost it, also
// if the store comes back from an older copy between the read of the states and the append.
func TestStateOfRolloutIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &revisionStore{store: newEraStore()}
		older := s.snapshot()
		var returned sync.Once
		s.beforePut = func() { returned.Do(func() { s.restore(older) }) }
		r := &wantingRollouts{}
		w := watch.New(watch.Options{
			Self: membership.Member{Name: "e"}, Store: s, Revisions: s, Relay: &siblings{}, Decoder: decoder{}, Rollouts: r, RolloutDecoder: rolloutDecoder{},
			Log: logfmt.New(io.Discard, 0, time.Now), Metrics: metrics.NewSet(), Rollback: 2 * time.Second,
			Now: time.Now, Apply: eraApply, Revoke: eraRevoke, Drain: eraDrain, AssumedEntries: 1, OnChange: func() {},
		})
		c.Assert(w.Start(context.Background()), qt.IsNil)
		t.Cleanup(func() { c.Assert(w.Close(), qt.IsNil) })
		time.Sleep(5 * time.Second)
		c.Check(string(s.newestOf(sequoialead.TopicStatus, "rollout/desk")), qt.Equals, "running")
		c.Check(r.Wanted(), qt.HasLen, 0)
		s.restore(older)
		time.Sleep(5 * time.Second)
		c.Check(string(s.newestOf(sequoialead.TopicStatus, "rollout/desk")), qt.Equals, "running")
	})
}
