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

// table collects the rows of a table that compares reports.
type table struct {
	reports []*Report
	rows    [][]string
}

func (t *table) add(name string, cell func(*Report) string) {
	row := []string{name}
	for _, r := range t.reports {
		row = append(row, cell(r))
	}
	t.rows = append(t.rows, row)
}

func formatPercent(x float64) string { return strconv.FormatFloat(100*x, 'f', 2, 64) + "%" }

func formatDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }

// Compare returns the rows of a table with a column for each report. The first
// column holds the names of the metrics, the first row the names of the reports.
func Compare(reports ...*Report) [][]string {
	t := &table{reports: reports}
	t.add("", func(r *Report) string { return r.Name })
	t.add("sent", func(r *Report) string { return strconv.Itoa(r.Total.Sent) })
	t.add("in time", func(r *Report) string { return formatPercent(r.Total.Attainment()) })
	t.add("in time in the worst second", func(r *Report) string { return formatPercent(r.WorstSecond()) })
	t.add("goodput", func(r *Report) string {
		return fmt.Sprintf("%.1f/s", float64(r.Total.InTime)/r.Duration.Seconds())
	})
	for _, o := range []sequoialead.Outcome{sequoialead.OutcomeDone, sequoialead.OutcomeNotRun, sequoialead.OutcomeFailed, sequoialead.OutcomeUnknown, OutcomeCut} {
		t.add(string(o), func(r *Report) string { return strconv.Itoa(r.Outcomes[o]) })
	}
	t.addQuantiles("done", func(r *Report) Quantiles { return r.Done })
	t.addQuantiles("refused", func(r *Report) Quantiles { return r.Refused })
	t.addQuantiles("first token", func(r *Report) Quantiles { return r.FirstToken })
	t.addQuantiles("between tokens", func(r *Report) Quantiles { return r.TokenGap })
	t.add("tokens", func(r *Report) string { return strconv.Itoa(r.Tokens) })
	t.add("wasted tokens, service", func(r *Report) string {
		tokens, service := r.Waste()
		return formatPercent(tokens) + " " + formatPercent(service)
	})
	t.addCounts("pipeline ", func(r *Report) map[string]*Counts { return r.Pipelines })
	t.addCounts("customer ", func(r *Report) map[string]*Counts { return r.Customers })
	t.addReasons()
	t.addCosts()
	return t.rows
}

func (t *table) addQuantiles(name string, of func(*Report) Quantiles) {
	t.add(name+" p50 p95 p99", func(r *Report) string {
		q := of(r)
		return formatDuration(q.P50) + " " + formatDuration(q.P95) + " " + formatDuration(q.P99)
	})
}

func (t *table) addCounts(prefix string, of func(*Report) map[string]*Counts) {
	names := map[string]bool{}
	for _, r := range t.reports {
		for name := range of(r) {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		t.add(prefix+name+" in time", func(r *Report) string {
			if counts := of(r)[name]; counts != nil {
				return formatPercent(counts.Attainment()) + counts.missedText()
			}
			return "-"
		})
	}
}

// missedText lists the reasons why requests were not answered in time, with the
// number of requests for each. It starts with a space unless it is empty.
func (c *Counts) missedText() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.Missed)) {
		fmt.Fprintf(&text, " %s=%d", name, c.Missed[name])
	}
	return text.String()
}

func (t *table) addReasons() {
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

func (t *table) addCosts() {
	names := map[string]bool{}
	for _, r := range t.reports {
		for _, c := range r.CostsByStage() {
			names[c.Stage] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		t.add("cost of "+name, func(r *Report) string {
			for _, c := range r.CostsByStage() {
				if c.Stage == name {
					return fmt.Sprintf("%.2fs %d tokens", c.Service.Seconds(), c.Tokens)
				}
			}
			return "-"
		})
	}
}
