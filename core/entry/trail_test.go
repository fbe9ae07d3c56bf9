package entry_test

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/common/logfmt"
	"sequoialead/core/config"
	"sequoialead/core/entry"
	"sequoialead/core/explain"
)

// The log lines of a request, found by the ID in its answer, explain its outcome.
func TestLogExplainsOutcome(t *testing.T) {
	slow := func(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
		time.Sleep(30 * time.Millisecond)
		return respond(`{}`)(ctx, call, reply)
	}
	tests := []struct {
		desc       string
		idempotent bool
		answer     handler
		within     time.Duration
		outcome    sequoialead.Outcome
		cause      string
		// state is the logged state of the stage; empty if no stage is logged.
		state string
	}{
		{"the answer of a stage that must not be repeated is lost", false, failWith(errors.New("connection lost")), 0,
			sequoialead.OutcomeUnknown, `the answer of a1 is lost; it may have run: connection lost, and the request must not be sent again`, "unknown"},
		{"no agent takes it", true, endWith(sequoialead.EndRefused, sequoialead.ReasonFull), 200 * time.Millisecond,
			sequoialead.OutcomeNotRun, `agent a1 does not start it: full, and no other agent took it in time \(.*\)`, "not-run"},
		{"too little time", true, slow, 60 * time.Millisecond,
			sequoialead.OutcomeNotRun, `its stages would take .* \(deadline\); refused truthfully, not run`, ""},
		{"no such pipeline", true, nil, 0, sequoialead.OutcomeNotRun, `not-run: pipeline`, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			e := entry.New(entry.Options{
				Name: "e", Domain: "d", MaxAnswerBytes: 1000, Random: rand.New(rand.NewPCG(1, 1)), Log: logfmt.New(&log, 0, time.Now),
				Configuration: &fakeConfiguration{conf: config.Config{
					Pipelines: map[string]config.Pipeline{"p": {Name: "p", Deadline: 2 * time.Second, Stages: []config.Stage{stage("s", sequoialead.OpInvoke, test.idempotent)}}},
					Policy:    config.Policy{Router: config.RouterTwoChoices, RejectLate: true, FairShare: true, RetryPercent: 10},
				}},
				Members: fakeMembers{"s": {&fakeAgent{name: "a1", domain: "d", limit: 4, handler: test.answer}}},
			})
			request := sequoialead.Request{Pipeline: "p", Customer: "c", Body: []byte(`{}`)}
			if test.answer == nil {
				request.Pipeline = "other"
			}
			customer := config.Customer{Name: "c", Weight: 1}
			if test.desc == "too little time" {
				for range 10 { // the entry estimates the service time from these requests
					e.Run(context.Background(), request, customer, 0, nil)
				}
			}
			answer := e.Run(context.Background(), request, customer, test.within, nil)
			c.Assert(answer.Outcome, qt.Equals, test.outcome)
			account := explain.New(answer.ID)
			c.Assert(account.ReadLog(&log), qt.IsNil)
			state := ""
			for _, step := range account.Steps() {
				if step.Event == "stage" {
					state = step.Fields["state"]
				}
			}
			c.Assert(state, qt.Equals, test.state)
			c.Assert(account.Cause(), qt.Matches, test.cause)
		})
	}
}
