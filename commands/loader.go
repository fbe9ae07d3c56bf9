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
	"sequoialead/core/mix"
	"sequoialead/core/report"
	"sequoialead/core/site"
	"sequoialead/io/caller"
	"sequoialead/io/console"
	"sequoialead/io/front"
	"sequoialead/io/operator"
	"sequoialead/io/standin"
)

const (
	defaultSettle  = 3 * time.Second
	progressPeriod = 5 * time.Second
	// answerGrace is how long an answer is waited for past its deadline.
	answerGrace = 5 * time.Second
)

// loader drives a system with a mix.
type loader struct {
	consoleFlags
	site     string
	out      string
	baseline bool
	scale    float64
	settle   time.Duration
}

// target is the system that a load drives.
type target struct {
	deps    Deps
	client  *console.Console
	front   *front.Front
	entries []netip.AddrPort
	site    *site.Site
}

func (l *loader) open(deps Deps) (*target, error) {
	t := &target{deps: deps, front: front.New()}
	if l.site != "" {
		s, err := readSite(l.site)
		if err != nil {
			return nil, err
		}
		t.site = s
		if l.key == "" {
			l.key = s.Key
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

// run drives the system once, or twice with the baseline.
func (l *loader) run(ctx context.Context, deps Deps, m *mix.Mix) ([]*report.Report, error) {
	t, err := l.open(deps)
	if err != nil {
		return nil, err
	}
	defer func() { _ = t.client.Close() }() // always nil
	defer func() { _ = t.front.Close() }()  // always nil
	first, err := t.drive(ctx, "policy", m)
	if err != nil || !l.baseline {
		return []*report.Report{first}, err
	}
	before, err := t.patch(ctx, baselineChanges())
	if err != nil {
		return nil, err
	}
	time.Sleep(l.settle)
	second, err := t.drive(ctx, "baseline", m)
	if err != nil {
		return nil, err
	}
	return []*report.Report{first, second}, t.restore(ctx, before)
}

// patch makes changes against the current version and returns the text of the
// configuration before.
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
	return shown.Text, t.offer(ctx, shown.Version, changes)
}

func (t *target) offer(ctx context.Context, base sequoialead.Version, changes []sequoialead.Change) error {
	answer, err := t.client.Patch(ctx, operator.PatchRequest{ID: uuid.New(), Base: base, Changes: changes, Note: "load"})
	if err != nil {
		return err
	}
	if answer.Audit.Verdict != sequoialead.VerdictAccepted {
		return sequoialead.ErrConflict.New("the patch was judged %q: %s", answer.Audit.Verdict, answer.Audit.Reason)
	}
	return nil
}

// restore makes the policy what it was in an earlier configuration.
func (t *target) restore(ctx context.Context, before string) error {
	doc, err := document.Parse("configuration", []byte(before))
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
	return t.offer(ctx, shown.Version, changes)
}

// costs returns the sum of what all entries count.
func (t *target) costs(ctx context.Context) (map[[3]string]operator.Cost, error) {
	sums := map[[3]string]operator.Cost{}
	for _, e := range t.entries {
		status, err := t.client.StatusOf(ctx, e)
		if err != nil {
			return nil, err
		}
		for _, c := range status.Costs {
			key := [3]string{c.Pipeline, c.Stage, c.Customer}
			sums[key] = add(sums[key], c, 1)
		}
	}
	return sums, nil
}

// add adds a cost to another, or subtracts it.
func add(sum, c operator.Cost, sign int) operator.Cost {
	sum.Pipeline, sum.Stage, sum.Customer = c.Pipeline, c.Stage, c.Customer
	sum.Calls += uint64(sign) * c.Calls
	sum.Service += time.Duration(sign) * c.Service
	sum.Tokens += uint64(sign) * c.Tokens
	sum.WastedService += time.Duration(sign) * c.WastedService
	sum.WastedTokens += uint64(sign) * c.WastedTokens
	return sum
}

// drive runs a mix once.
func (t *target) drive(ctx context.Context, name string, m *mix.Mix) (*report.Report, error) {
	before, err := t.costs(ctx)
	if err != nil {
		return nil, err
	}
	samples, err := t.send(ctx, name, m)
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
		costs = append(costs, add(c, earlier, -1))
	}
	return report.New(name, m.Duration, samples, costs), nil
}

// send sends each arrival when it is due, whatever became of those before.
func (t *target) send(ctx context.Context, name string, m *mix.Mix) ([]report.Sample, error) {
	arrivals := m.Schedule()
	samples := make([]report.Sample, len(arrivals))
	run := uuid.NewString()
	began := time.Now()
	var wait sync.WaitGroup
	var open atomic.Int64
	failed := make(chan error, 1)
	wait.Go(func() {
		if err := t.act(ctx, m, began); err != nil {
			failed <- err
		}
	})
	told := time.Duration(0)
	for i, a := range arrivals {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case err := <-failed:
			return nil, err
		case <-time.After(time.Until(began.Add(a.At))):
		}
		if a.At-told > progressPeriod {
			told = a.At
			progress(t.deps, name, a.At, m.Duration, i, int(open.Load()))
		}
		open.Add(1)
		wait.Go(func() {
			defer open.Add(-1)
			samples[i] = t.one(ctx, t.entries[i%len(t.entries)], a, began, run)
		})
	}
	wait.Wait()
	return samples, nil
}

// one sends one request and measures from when it was due.
func (t *target) one(ctx context.Context, entry netip.AddrPort, a mix.Arrival, began time.Time, run string) report.Sample {
	ctx, cancel := context.WithTimeout(ctx, a.Kind.Deadline+answerGrace)
	defer cancel()
	due := began.Add(a.At)
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
		Body:     caller.Body{Text: a.Text, Body: body, Stream: a.Kind.Stream, Deadline: a.Kind.Deadline.String()},
	}
	if a.Kind.WithIdempotencyKey {
		request.Once = id
	}
	result, err := t.front.Send(ctx, entry, request)
	s.Latency = time.Since(due)
	s.Outcome = result.Answer.Outcome
	s.Reason = result.Answer.Reason
	s.Tokens = result.Answer.Tokens
	s.TokenGaps = result.Gaps
	if !result.First.IsZero() {
		s.FirstToken = result.First.Sub(due)
	}
	if err != nil {
		s.Outcome = report.OutcomeCut
	}
	return s
}

// act does what the mix does to the system.
func (t *target) act(ctx context.Context, m *mix.Mix, began time.Time) error {
	for _, a := range m.Actions {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(began.Add(a.At))):
		}
		if err := t.do(ctx, a.Args); err != nil {
			return err
		}
	}
	return nil
}

func (t *target) do(ctx context.Context, words []string) error {
	switch words[0] {
	case mix.VerbPatch:
		_, err := t.patch(ctx, words[1:])
		return err
	case mix.VerbDrain, mix.VerbRestore:
		if len(words) != 3 {
			return sequoialead.ErrSettings.New("action %v: give domain or backend and a name", words)
		}
		state := "in"
		if words[0] == mix.VerbDrain {
			state = map[string]string{kindDomain: "out", kindBackend: "drained"}[words[1]]
		}
		_, err := t.patch(ctx, []string{words[1] + "." + words[2] + ".state=" + state})
		return err
	}
	return t.fault(ctx, words)
}

// fault turns backend servers cold, slow or broken, or mends them.
func (t *target) fault(ctx context.Context, words []string) error {
	if t.site == nil {
		return sequoialead.ErrSettings.New("action %v needs --site", words)
	}
	found := false
	for _, b := range t.site.Backends {
		if b.Name != words[1] && "pool:"+b.Pool != words[1] && "domain:"+b.Domain != words[1] {
			continue
		}
		found = true
		if err := standin.New(b.Server).Fault(ctx, words[0]); err != nil {
			return err
		}
	}
	if !found {
		return sequoialead.ErrSettings.New("action %v: no backend server is called so", words)
	}
	return nil
}
