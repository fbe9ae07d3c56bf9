package forward_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

// crashingEngines stands for model engines of which each ends when it begins to answer a
// prompt with the deadly part.
type crashingEngines struct {
	*fakePlatform
	deadly uint64
	// crashed holds the number of the request at each crash.
	crashed []int
	current int
}

func (e *crashingEngines) Exchange(ctx context.Context, attempt sequoialead.ProxyAttempt) (*sequoialead.Response, error) {
	response, err := e.fakePlatform.Exchange(ctx, attempt)
	response.Body = &fakeBody{parts: events("", 2), err: io.EOF}
	if slices.ContainsFunc(attempt.Request.Prompt.Parts, func(p sequoialead.PromptPart) bool { return p.ID == e.deadly }) {
		e.crashed = append(e.crashed, e.current)
		for i := range e.servers {
			if e.servers[i].ID == attempt.Server.ID {
				e.servers[i].StartedAt = e.clock() // it starts again at once
			}
		}
		response.Body = &fakeBody{err: sequoialead.ErrBroken.New("cut")}
	}
	return response, err
}

// Requests with one part in their prompts ended a backend server each, one after the
// other, as long as they came. Requests that share everything but this part are sound.
func TestPromptsThatCrashServersAreHeldBack(t *testing.T) {
	c := qt.New(t)
	const (
		deadly          = 0xdead
		perSecond       = 10
		maxCrashes      = 5
		maxCrashesAfter = 3
		window          = 3 * time.Second
	)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindStream, Pools: []proxyconfig.WeightedPool{{Pool: "draft", Weight: 1}}})
	engines := &crashingEngines{fakePlatform: w, deadly: deadly}
	f := w.newForwarderTo(t, engines)
	refusedSound, sound := 0, 0
	for n := range 200 {
		w.advance(time.Second / perSecond)
		engines.current = n
		f.Refresh()
		p := newProxyRequest(w)
		p.ID = fmt.Sprintf("r%d", n)
		p.Prompt = sequoialead.Prompt{Model: "m", Input: 60, Parts: []sequoialead.PromptPart{{ID: 1, Tokens: 20}, {ID: 2, Tokens: 20}, {ID: uint64(1000 + n), Tokens: 10}}}
		isDeadly := n%4 == 3
		if isDeadly {
			p.Prompt.Parts = slices.Insert(p.Prompt.Parts, 2, sequoialead.PromptPart{ID: deadly, Tokens: 10})
		}
		result := f.Serve(context.Background(), p, &recordingSink{})
		if !isDeadly {
			sound++
			if result.Status != 0 {
				refusedSound++
			}
		}
	}
	late := 0
	if len(engines.crashed) > maxCrashes {
		fifth := engines.crashed[maxCrashes-1]
		for _, n := range engines.crashed {
			if time.Duration(n-fifth)*time.Second/perSecond > window {
				late++
			}
		}
	}
	c.Assert(late <= maxCrashesAfter, qt.IsTrue, qt.Commentf("%d crashes, %d of them later than %v after the fifth", len(engines.crashed), late, window))
	c.Assert(refusedSound <= sound/10, qt.IsTrue, qt.Commentf("%d of %d sound requests refused", refusedSound, sound))
}

// A request whose stages take long is not sent any more once its prompt is known to crash
// servers.
func TestQuarantineHoldsForRequestsInTheirStages(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(stagedRoute())
	f := w.newForwarder(t)
	p := newProxyRequest(w)
	p.Pieces, p.PieceKey = []int{1, 0, 0}, "k"
	p.Prompt = sequoialead.Prompt{Input: 20, Parts: []sequoialead.PromptPart{{ID: 1}, {ID: 0xdead}, {ID: 3}}}
	w.onMake = func() {
		for n := range 3 {
			w.advance(time.Second)
			w.quarantine.RecordCrash(sequoialead.Server{ID: fmt.Sprintf("s%d", n)}, p.Prompt.Parts, true)
		}
	}
	w.script = []string{"events"}
	result := f.Serve(context.Background(), p, &recordingSink{})
	c.Assert(result.Status, qt.Equals, 503)
	c.Assert(result.Reason, qt.Equals, sequoialead.ReasonQuarantine)
	c.Assert(w.attempts, qt.HasLen, 0)
	w.eventually(t, func() bool { return w.freedCount == len(w.made) })
}
