package commands

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/document"
	"sequoialead/core/report"
	"sequoialead/core/site"
	"sequoialead/core/workload"
	"sequoialead/io/caller"
	"sequoialead/io/console"
	"sequoialead/io/front"
	"sequoialead/io/operator"
	"sequoialead/io/standin"
)

const (
	defaultSettle  = 3 * time.Second
	progressPeriod = 5 * time.Second
	// answerGrace is how long the runner waits for an answer beyond its deadline.
	answerGrace = 5 * time.Second
)

// loadRunner runs a load test with the command's flags.
type loadRunner struct {
	consoleFlags
	site     string
	out      string
	baseline bool
	scale    float64
	settle   time.Duration
}

// target is the system under test.
type target struct {
	deps Deps
	// client is the operators' client, and sender sends callers' requests.
	client  *console.Client
	sender  *front.Client
	entries []netip.AddrPort
	site    *site.Site
}

func (l *loadRunner) openTarget(deps Deps) (*target, error) {
	t := &target{deps: deps, sender: front.New()}
	if l.site != "" {
		s, err := readSite(l.site)
		if err != nil {
			return nil, err
		}
		t.site = s
		if l.key == "" {
			l.key = s.OperatorKey
		}
		for _, e := range s.Entries {
			t.entries = append(t.entries, e.Addr)
		}
	} else {
		entries, err := l.parseEntries()
		if err != nil {
			return nil, err
		}
		t.entries = entries
	}
	client, err := console.New(console.Options{Entries: t.entries, Key: l.key})
	t.client = client
	return t, err
}

// run runs the load test once and, with --baseline, a second time with every policy
// disabled. It restores the policies after the second run unless that fails.
func (l *loadRunner) run(ctx context.Context, deps Deps, w *workload.Workload) ([]*report.Report, error) {
	t, err := l.openTarget(deps)
	if err != nil {
		return nil, err
	}
	defer func() { _ = t.client.Close() }() // Close always returns nil
	defer func() { _ = t.sender.Close() }() // Close always returns nil
	first, err := t.runWorkload(ctx, "policy", w)
	if err != nil || !l.baseline {
		return []*report.Report{first}, err
	}
	previous, err := t.patch(ctx, baselineChanges())
	if err != nil {
		return nil, err
	}
	time.Sleep(l.settle)
	second, err := t.runWorkload(ctx, "baseline", w)
	if err != nil {
		return nil, err
	}
	return []*report.Report{first, second}, t.restorePolicy(ctx, previous)
}

// patch applies changes, in the command line's notation, to the current
// configuration and returns its text before the changes.
func (t *target) patch(ctx context.Context, texts []string) (string, error) {
	shown, err := t.client.Show(ctx, "")
	if err != nil {
		return "", err
	}
	var changes []sequoialead.Change
	for _, text := range texts {
		change, err := document.ParseChange(text)
		if err != nil {
			return "", err
		}
		changes = append(changes, change)
	}
	return shown.Text, t.submit(ctx, shown.Version, changes)
}

func (t *target) submit(ctx context.Context, base sequoialead.Version, changes []sequoialead.Change) error {
	answer, err := t.client.Patch(ctx, operator.PatchRequest{ID: uuid.New(), Base: base, Changes: changes, Note: "load"})
	if err != nil {
		return err
	}
	if answer.Audit.Verdict != sequoialead.VerdictAccepted {
		return sequoialead.ErrConflict.New("the patch was not accepted (verdict %q): %s", answer.Audit.Verdict, answer.Audit.Reason)
	}
	return nil
}

// restorePolicy sets the policy section to that of an earlier configuration.
func (t *target) restorePolicy(ctx context.Context, previous string) error {
	doc, err := document.Parse("configuration", []byte(previous))
	if err != nil {
		return err
	}
	shown, err := t.client.Show(ctx, "")
	if err != nil {
		return err
	}
	changes := []sequoialead.Change{{Section: "policy", Remove: true}}
	for _, key := range doc.Keys("policy") {
		value, _ := doc.Value("policy", key)
		changes = append(changes, sequoialead.Change{Section: "policy", Key: key, Value: value})
	}
	return t.submit(ctx, shown.Version, changes)
}

// costs returns the sums of all entries' cost counters, keyed by pipeline, stage
// and customer.
func (t *target) costs(ctx context.Context) (map[[3]string]operator.Cost, error) {
	sums := map[[3]string]operator.Cost{}
	for _, e := range t.entries {
		status, err := t.client.StatusOf(ctx, e)
		if err != nil {
			return nil, err
		}
		for _, c := range status.Costs {
			key := [3]string{c.Pipeline, c.Stage, c.Customer}
			sums[key] = addCost(sums[key], c, 1)
		}
	}
	return sums, nil
}

// addCost adds sign times c to sum, where sign is 1 or -1.
func addCost(sum, c operator.Cost, sign int) operator.Cost {
	sum.Pipeline, sum.Stage, sum.Customer = c.Pipeline, c.Stage, c.Customer
	sum.Calls += uint64(sign) * c.Calls
	sum.Service += time.Duration(sign) * c.Service
	sum.Tokens += uint64(sign) * c.Tokens
	sum.WastedService += time.Duration(sign) * c.WastedService
	sum.WastedTokens += uint64(sign) * c.WastedTokens
	return sum
}

// runWorkload runs a workload once and reports on it.
func (t *target) runWorkload(ctx context.Context, name string, w *workload.Workload) (*report.Report, error) {
	before, err := t.costs(ctx)
	if err != nil {
		return nil, err
	}
	samples, err := t.sendAll(ctx, name, w)
	if err != nil {
		return nil, err
	}
	after, err := t.costs(ctx)
	if err != nil {
		return nil, err
	}
	var costs []operator.Cost
	for key, c := range after {
		earlier := before[key]
		earlier.Pipeline, earlier.Stage, earlier.Customer = c.Pipeline, c.Stage, c.Customer
		costs = append(costs, addCost(c, earlier, -1))
	}
	return report.New(name, w.Duration, samples, costs), nil
}

// sendAll sends each request when it is due, without waiting for the answers to
// earlier ones, so that a slow system does not lower the load.
func (t *target) sendAll(ctx context.Context, name string, w *workload.Workload) ([]report.Sample, error) {
	arrivals := w.Schedule()
	samples := make([]report.Sample, len(arrivals))
	run := uuid.NewString()
	start := time.Now()
	var group sync.WaitGroup
	var inFlight atomic.Int64
	failed := make(chan error, 1)
	group.Go(func() {
		if err := t.runActions(ctx, w, start); err != nil {
			failed <- err
		}
	})
	lastProgress := time.Duration(0)
	for i, a := range arrivals {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case err := <-failed:
			return nil, err
		case <-time.After(time.Until(start.Add(a.At))):
		}
		if a.At-lastProgress > progressPeriod {
			lastProgress = a.At
			printProgress(t.deps, name, a.At, w.Duration, i, int(inFlight.Load()))
		}
		inFlight.Add(1)
		group.Go(func() {
			defer inFlight.Add(-1)
			samples[i] = t.sendOne(ctx, t.entries[i%len(t.entries)], a, start, run)
		})
	}
	group.Wait()
	return samples, nil
}

// sendOne sends one request. Latencies are measured from when it was due, so that
// they include a delay of the sender.
func (t *target) sendOne(ctx context.Context, entry netip.AddrPort, a workload.Arrival, start time.Time, run string) report.Sample {
	ctx, cancel := context.WithTimeout(ctx, a.Kind.Deadline+answerGrace)
	defer cancel()
	due := start.Add(a.At)
	id := run + "-" + a.ID
	body, err := json.Marshal(map[string]string{"id": id})
	s := report.Sample{Due: a.At, Pipeline: a.Kind.Pipeline, Customer: a.Kind.Customer, Deadline: a.Kind.Deadline}
	if err != nil {
		s.Outcome = report.OutcomeCut
		return s
	}
	request := front.Request{
		Pipeline: a.Kind.Pipeline,
		Key:      a.Kind.CustomerKey,
		Body:     caller.Request{Text: a.Text, Body: body, Stream: a.Kind.Stream, Deadline: a.Kind.Deadline.String()},
	}
	if a.Kind.WithIdempotencyKey {
		request.IdempotencyKey = id
	}
	result, err := t.sender.Send(ctx, entry, request)
	s.Latency = time.Since(due)
	s.Outcome = result.Answer.Outcome
	s.Reason = result.Answer.Reason
	s.Tokens = result.Answer.Tokens
	s.TokenGaps = result.TokenGaps
	if !result.FirstTokenAt.IsZero() {
		s.FirstToken = result.FirstTokenAt.Sub(due)
	}
	if err != nil {
		s.Outcome = report.OutcomeCut
	}
	return s
}

// runActions runs the workload's actions at their times and stops at the first error.
func (t *target) runActions(ctx context.Context, w *workload.Workload, start time.Time) error {
	for _, a := range w.Actions {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(start.Add(a.At))):
		}
		if err := t.runAction(ctx, a.Args); err != nil {
			return err
		}
	}
	return nil
}

func (t *target) runAction(ctx context.Context, args []string) error {
	switch args[0] {
	case workload.VerbPatch:
		_, err := t.patch(ctx, args[1:])
		return err
	case workload.VerbDrain, workload.VerbRestore:
		if len(args) != 3 {
			return sequoialead.ErrSettings.New("action %v: give domain or backend and a name", args)
		}
		state := "in"
		if args[0] == workload.VerbDrain {
			state = map[string]string{kindDomain: "out", kindBackend: "drained"}[args[1]]
		}
		_, err := t.patch(ctx, []string{args[1] + "." + args[2] + ".state=" + state})
		return err
	}
	return t.setFault(ctx, args)
}

// setFault makes the stand-ins that args[1] selects cold, slow or failing, or ends
// their fault. The selector is a name, pool:NAME or domain:NAME.
func (t *target) setFault(ctx context.Context, args []string) error {
	if t.site == nil {
		return sequoialead.ErrSettings.New("action %v needs --site", args)
	}
	found := false
	for _, b := range t.site.Backends {
		if b.Name != args[1] && "pool:"+b.Pool != args[1] && "domain:"+b.Domain != args[1] {
			continue
		}
		found = true
		if err := standin.New(b.ServerAddr).Inject(ctx, args[0]); err != nil {
			return err
		}
	}
	if !found {
		return sequoialead.ErrSettings.New("action %v: no backend server matches; give a name, pool:NAME or domain:NAME", args)
	}
	return nil
}
