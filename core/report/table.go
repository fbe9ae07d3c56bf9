package report

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoialead"
)

// rows collects the lines of a table that compares reports.
type rows struct {
	reports []*Report
	rows    [][]string
}

func (t *rows) add(name string, cell func(*Report) string) {
	row := []string{name}
	for _, r := range t.reports {
		row = append(row, cell(r))
	}
	t.rows = append(t.rows, row)
}

func percent(x float64) string { return strconv.FormatFloat(100*x, 'f', 2, 64) + "%" }

func duration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }

// Compare returns a table with a column for each report.
func Compare(reports ...*Report) [][]string {
	t := &rows{reports: reports}
	t.add("", func(r *Report) string { return r.Name })
	t.add("sent", func(r *Report) string { return strconv.Itoa(r.All.Sent) })
	t.add("in time", func(r *Report) string { return percent(r.All.Attainment()) })
	t.add("in time in the worst second", func(r *Report) string { return percent(r.Worst()) })
	t.add("goodput", func(r *Report) string {
		return fmt.Sprintf("%.1f/s", float64(r.All.InTime)/r.Time.Seconds())
	})
	for _, o := range []sequoialead.Outcome{sequoialead.OutcomeDone, sequoialead.OutcomeNotRun, sequoialead.OutcomeFailed, sequoialead.OutcomeUnknown, OutcomeCut} {
		t.add(string(o), func(r *Report) string { return strconv.Itoa(r.Outcomes[o]) })
	}
	t.quantiles("done", func(r *Report) Quantiles { return r.Done })
	t.quantiles("refused", func(r *Report) Quantiles { return r.Refused })
	t.quantiles("first token", func(r *Report) Quantiles { return r.First })
	t.quantiles("between tokens", func(r *Report) Quantiles { return r.Gap })
	t.add("tokens", func(r *Report) string { return strconv.Itoa(r.Tokens) })
	t.add("wasted tokens, service", func(r *Report) string {
		tokens, service := r.Waste()
		return percent(tokens) + " " + percent(service)
	})
	t.lines("pipeline ", func(r *Report) map[string]*Line { return r.Pipelines })
	t.lines("customer ", func(r *Report) map[string]*Line { return r.Customers })
	t.reasons()
	t.costs()
	return t.rows
}

func (t *rows) quantiles(name string, of func(*Report) Quantiles) {
	t.add(name+" p50 p95 p99", func(r *Report) string {
		q := of(r)
		return duration(q.P50) + " " + duration(q.P95) + " " + duration(q.P99)
	})
}

func (t *rows) lines(prefix string, of func(*Report) map[string]*Line) {
	names := map[string]bool{}
	for _, r := range t.reports {
		for name := range of(r) {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		t.add(prefix+name+" in time", func(r *Report) string {
			if l := of(r)[name]; l != nil {
				return percent(l.Attainment()) + l.reasons()
			}
			return "-"
		})
	}
}

// reasons lists the reasons for which requests were not answered in time.
func (l *Line) reasons() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Missed)) {
		fmt.Fprintf(&text, " %s=%d", name, l.Missed[name])
	}
	return text.String()
}

func (t *rows) reasons() {
	names := map[sequoialead.Reason]bool{}
	for _, r := range t.reports {
		for name := range r.Reasons {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		t.add("reason "+string(name), func(r *Report) string { return strconv.Itoa(r.Reasons[name]) })
	}
}

func (t *rows) costs() {
	names := map[string]bool{}
	for _, r := range t.reports {
		for _, c := range r.Stages() {
			names[c.Stage] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		t.add("cost of "+name, func(r *Report) string {
			for _, c := range r.Stages() {
				if c.Stage == name {
					return fmt.Sprintf("%.2fs %d tokens", c.Service.Seconds(), c.Tokens)
				}
			}
			return "-"
		})
	}
}
