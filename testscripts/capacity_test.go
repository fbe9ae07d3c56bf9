package testscripts

import (
	"bufio"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sequoialead/common/digest"
	"sequoialead/io/front"
)

// metric returns a value from a process's metrics.
func metric(b *testing.B, addr, name string) float64 {
	b.Helper()
	value, err := readMetric(addr, name)
	if err != nil {
		b.Fatal(err)
	}
	return value
}

func readMetric(addr, name string) (float64, error) {
	response, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), name+" "); ok {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, fmt.Errorf("no metric %s", name)
}

func linkBytes(b *testing.B, f *fleet) float64 {
	addr := f.site.Entries[0].Addr.String()
	return metric(b, addr, "sequoialead_link_received_bytes_total") + metric(b, addr, "sequoialead_link_sent_bytes_total")
}

const megabyte = 1 << 20

// BenchmarkPeers measures what an idle entry needs for each agent, and an
// agent for its entry.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{8, 32, 64, 96} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := benchFleet(b, fmt.Sprintf("[site]\ndomains = a b\nentries = 1\n\n[pool.booking]\ncount = %d\n", n))
			const idle = 10 * time.Second
			time.Sleep(2 * time.Second)
			for b.Loop() {
				bytes, entry, agent := linkBytes(b, f), f.cpu(b, "entry:e1"), f.cpu(b, "agent:booking-1")
				time.Sleep(idle)
				b.ReportMetric((linkBytes(b, f)-bytes)/idle.Seconds(), "link-bytes/s")
				b.ReportMetric((f.cpu(b, "entry:e1")-entry).Seconds()/idle.Seconds()*100, "entry-core-%")
				b.ReportMetric((f.cpu(b, "agent:booking-1")-agent).Seconds()/idle.Seconds()*100, "agent-core-%")
				b.ReportMetric(float64(f.memory(b, "entry:e1"))/megabyte, "entry-MB")
				b.ReportMetric(float64(f.memory(b, "agent:booking-1"))/megabyte, "agent-MB")
			}
		})
	}
}

// change makes a change through an entry and waits until it is in force
// everywhere.
func (f *fleet) change(b *testing.B, entry netip.AddrPort, version *int, changes ...string) {
	b.Helper()
	args := append([]string{"patch", "--entry", entry.String(), "--key", operatorKey, "--base", strconv.Itoa(*version), "--wait", "--timeout", "60s"}, changes...)
	if out, err := f.command(args...); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	*version++
}

// addCustomers adds a number of customers to a new fleet and returns the
// version that this makes.
func (f *fleet) addCustomers(b *testing.B, n int) int {
	b.Helper()
	const step = 500
	version := 1
	for done := 0; done < n; done += step {
		var changes []string
		for i := range step {
			changes = append(changes, fmt.Sprintf("customer.c%d.key=%s", done+i, digest.Of(fmt.Sprint(done+i))))
		}
		f.change(b, f.site.Entries[0].Addr, &version, changes...)
	}
	return version
}

// BenchmarkCustomers measures what each change costs, and what memory a
// configuration takes, by the number of customers.
func BenchmarkCustomers(b *testing.B) {
	for _, n := range []int{1000, 6000, 12000, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := benchFleet(b, "[site]\ndomains = a b\nentries = 1\n\n[pool.booking]\ncount = 4\n")
			version := f.addCustomers(b, n)
			const changes = 10
			for b.Loop() {
				bytes, entry, agent := linkBytes(b, f), f.cpu(b, "entry:e1"), f.cpu(b, "agent:booking-1")
				for i := range changes {
					f.change(b, f.site.Entries[0].Addr, &version, fmt.Sprintf("customer.c0.share=%d", i+2))
				}
				b.ReportMetric((f.cpu(b, "entry:e1")-entry).Seconds()*1000/changes, "entry-ms/change")
				b.ReportMetric((f.cpu(b, "agent:booking-1")-agent).Seconds()*1000/changes, "agent-ms/change")
				b.ReportMetric((linkBytes(b, f)-bytes)/changes/4, "link-bytes/change/peer")
				b.ReportMetric(float64(f.memory(b, "entry:e1"))/megabyte, "entry-MB")
				b.ReportMetric(float64(f.memory(b, "agent:booking-1"))/megabyte, "agent-MB")
			}
		})
	}
}

// BenchmarkOpen measures the memory of open requests.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1, 400, 800, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := benchFleet(b, "[site]\ndomains = a b\nentries = 1\n\n[pool.draft]\ncount = 2\nfull = 4096\ncold = 4096\nwork = 8s\ntoken = 0s\n",
				"pool.draft.full=4096", "pool.draft.cold=4096", "policy.early=no", "stage.write.tokens=1", "pipeline.draft.deadline=60s")
			client := front.New()
			for b.Loop() {
				var wait sync.WaitGroup
				for i := range n {
					wait.Go(func() {
						if _, err := send(client, f.site.Entries[0].Addr, "draft", fmt.Sprint("w", i), true); err != nil {
							b.Error(err)
						}
					})
				}
				time.Sleep(4 * time.Second)
				b.ReportMetric(metric(b, f.site.Entries[0].Addr.String(), "sequoialead_requests_open"), "open")
				b.ReportMetric(float64(f.memory(b, "entry:e1"))/megabyte, "entry-MB")
				b.ReportMetric(float64(f.memory(b, "agent:draft-1"))/megabyte, "agent-MB")
				wait.Wait()
			}
		})
	}
}

// What a daemon may spend on control at the large size.
const (
	controlCore   = 3.7 // percent
	controlMemory = 128 // megabytes
	controlBytes  = 4 << 10
)

// Sizes of an entry's part of the large size.
const (
	controlAgents    = 72
	controlCustomers = 24000
	controlPeriod    = 60 * time.Second
	// controlChanges is 4,800 changes a day in the period, rounded up.
	controlChanges = 4
)

// BenchmarkControl measures what an entry and an agent spend on control with
// the subset, the customers and the changes of the large size, and fails where
// it is above the budget.
func BenchmarkControl(b *testing.B) {
	f := benchFleet(b, fmt.Sprintf("[site]\ndomains = a b\nentries = 4\n\n[pool.booking]\ncount = %d\n", controlAgents))
	version := f.addCustomers(b, controlCustomers)
	for b.Loop() {
		bytes, entry, agent := linkBytes(b, f), f.cpu(b, "entry:e1"), f.cpu(b, "agent:booking-1")
		for i := range controlChanges {
			f.change(b, f.site.Entries[1].Addr, &version, fmt.Sprintf("customer.c0.share=%d", i+2))
			time.Sleep(controlPeriod / controlChanges)
		}
		within(b, "link-bytes/s", (linkBytes(b, f)-bytes)/controlPeriod.Seconds(), controlBytes)
		within(b, "entry-core-%", (f.cpu(b, "entry:e1")-entry).Seconds()/controlPeriod.Seconds()*100, controlCore)
		within(b, "agent-core-%", (f.cpu(b, "agent:booking-1")-agent).Seconds()/controlPeriod.Seconds()*100, controlCore)
		within(b, "entry-MB", float64(f.memory(b, "entry:e1"))/megabyte, controlMemory)
		within(b, "agent-MB", float64(f.memory(b, "agent:booking-1"))/megabyte, controlMemory)
	}
}

// within reports a value and fails if it is above its budget.
func within(b *testing.B, unit string, value, budget float64) {
	b.Helper()
	b.ReportMetric(value, unit)
	if value > budget {
		b.Errorf("%s: %.1f, above the budget of %.1f", unit, value, budget)
	}
}
