package testscripts

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sequoialead"
	fakeengine "sequoialead/fake/engine"
	"sequoialead/io/caller"
)

// cmdExpect compares the number of the latest calls per outcome with conditions such
// as done=3 or not-run>0.
func cmdExpect(_ *testscript.TestScript, f *fleet, args []string) error {
	for _, arg := range args {
		i := strings.IndexAny(arg, "=<>")
		want, err := strconv.Atoi(arg[i+1:])
		if err != nil {
			return err
		}
		got := f.lastGroup.count(arg[:i])
		ok := map[byte]bool{'=': got == want, '<': got < want, '>': got > want}[arg[i]]
		if !ok {
			return fmt.Errorf("%s: got %d of %s; %s", arg, got, f.lastGroup, f.lastGroup.failureDetails())
		}
	}
	return nil
}

// failureDetails describes up to three calls that did not end as done.
func (g *callGroup) failureDetails() string {
	var details []string
	for _, c := range g.calls {
		if c.outcome != "done" && len(details) < 3 {
			details = append(details, fmt.Sprintf("%s %s %s %s%s %v", c.id, c.outcome, c.answer.Reason, c.answer.Detail, c.detail, c.answer.Stages))
		}
	}
	return strings.Join(details, "; ")
}

// cmdRequest sends one request with the body as written: request ENTRY PATH KEY
// BODY. The body `large` stands for one above the size limit.
func cmdRequest(ts *testscript.TestScript, f *fleet, args []string) error {
	body := strings.Join(args[3:], " ")
	if body == "large" {
		body = `{"text":"` + strings.Repeat("a", caller.MaxBodyBytes) + `"}`
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+ts.Getenv(args[0])+args[1], strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+args[2])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var answer caller.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	f.lastAnswer = fmt.Sprint(response.StatusCode, " ", response.Header.Get(caller.HeaderOutcome), " ", answer.Reason)
	if answer.Outcome != sequoialead.OutcomeDone && answer.Remedy == "" {
		return fmt.Errorf("answer with outcome other than done has no remedy")
	}
	return nil
}

// cmdAnswered fails unless its arguments are the status, outcome and reason of the
// answer to the latest cmdRequest: answered STATUS OUTCOME [REASON].
func cmdAnswered(_ *testscript.TestScript, f *fleet, args []string) error {
	if want := strings.Join(args, " "); strings.TrimSpace(f.lastAnswer) != want {
		return fmt.Errorf("got answer %q, want %q", f.lastAnswer, want)
	}
	return nil
}

// callCounts returns the number of calls that each running backend server received.
func (f *fleet) callCounts() (map[string]int, error) {
	counts := map[string]int{}
	for _, name := range f.selectBackends("all") {
		if p := f.procs["backend:"+name]; p.cmd == nil {
			continue
		}
		s, err := f.backendStats(name)
		if err != nil {
			return nil, err
		}
		counts[name] = s.Calls
	}
	return counts, nil
}

// cmdMark records how many calls each backend server has received, for cmdUnchanged
// and cmdChanged.
func cmdMark(_ *testscript.TestScript, f *fleet, _ []string) error {
	counts, err := f.callCounts()
	f.markedCalls = counts
	return err
}

// callsSinceMark returns the number of calls that a selector's backend servers have
// received since the latest cmdMark.
func (f *fleet) callsSinceMark(selector string) (int, error) {
	counts, err := f.callCounts()
	sum := 0
	for _, name := range f.selectBackends(selector) {
		sum += counts[name] - f.markedCalls[name]
	}
	return sum, err
}

// cmdUnchanged fails if a selector's backend servers have received calls since the
// mark.
func cmdUnchanged(_ *testscript.TestScript, f *fleet, args []string) error {
	for _, selector := range args {
		if n, err := f.callsSinceMark(selector); err != nil || n != 0 {
			return fmt.Errorf("%s received %d calls since the mark: %w", selector, n, err)
		}
	}
	return nil
}

// changeTimeout is long enough to reopen a lost connection, and for routing to pick
// a server that gets no calls for a while by chance.
const changeTimeout = 10 * time.Second

// cmdChanged waits until each selector's backend servers have received calls since
// the mark.
func cmdChanged(_ *testscript.TestScript, f *fleet, args []string) error {
	deadline := time.Now().Add(changeTimeout)
	for _, selector := range args {
		if err := f.awaitCallsSinceMark(selector, deadline); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitCallsSinceMark(selector string, deadline time.Time) error {
	for {
		if n, err := f.callsSinceMark(selector); err != nil || n > 0 {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s received no calls since the mark, waited %s", selector, changeTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func cmdSleep(_ *testscript.TestScript, _ *fleet, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// recordedRuns returns what all backend servers recorded, including stopped ones: the
// runs of each piece of work, and the calls above the limit of a cold server.
func (f *fleet) recordedRuns() (runs map[string]int, overloads int, err error) {
	runs = map[string]int{}
	all := append([]fakeengine.Stats(nil), f.stoppedStats...)
	for _, name := range f.selectBackends("all") {
		if f.procs["backend:"+name].cmd == nil {
			continue
		}
		s, err := f.backendStats(name)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, s)
	}
	for _, s := range all {
		overloads += s.Overloads
		for work, n := range s.Runs {
			runs[work] += n
		}
	}
	return runs, overloads, nil
}

// cmdCheck checks the invariants against the records of the backend servers: no cold
// server was overloaded, no invoke ran twice, and no answer is wrong or contradicts the
// recorded runs.
func cmdCheck(_ *testscript.TestScript, f *fleet, _ []string) error {
	runs, overloads, err := f.recordedRuns()
	if err != nil {
		return err
	}
	if overloads > 0 {
		return fmt.Errorf("cold backend servers were overloaded %d times", overloads)
	}
	for work, n := range runs {
		if strings.HasPrefix(work, "invoke:") && n > 1 {
			return fmt.Errorf("%s ran %d times", work, n)
		}
	}
	for _, c := range f.calls {
		if wrong := c.violation(runs); wrong != "" {
			return fmt.Errorf("call %s of %s: %s", c.id, c.pipeline, wrong)
		}
	}
	return nil
}

// cmdOver fails unless a cold backend server was overloaded. It shows that cmdCheck
// can fail.
func cmdOver(_ *testscript.TestScript, f *fleet, _ []string) error {
	_, overloads, err := f.recordedRuns()
	if err == nil && overloads == 0 {
		return fmt.Errorf("no cold backend server was overloaded")
	}
	return err
}
