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

func mustReadMetric(b *testing.B, addr, name string) float64 {
	b.Helper()
	value, err := readMetric(addr, name)
	if err != nil {
		b.Fatal(err)
	}
	return value
}

// readMetric reads a metric from the /metrics endpoint of a process.
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
	return 0, fmt.Errorf("metric %s not found", name)
}

func linkBytes(b *testing.B, f *fleet) float64 {
	addr := f.site.Entries[0].Addr.String()
	return mustReadMetric(b, addr, "sequoialead_link_received_bytes_total") + mustReadMetric(b, addr, "sequoialead_link_sent_bytes_total")
}

const megabyte = 1 << 20

// BenchmarkPeers measures traffic, CPU and memory of an idle entry, and of an idle
// agent, by the number of agents.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{8, 32, 64, 96} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := benchFleet(b, fmt.Sprintf("[site]\ndomains = a b\nentries = 1\n\n[pool.booking]\ncount = %d\n", n))
			const idle = 10 * time.Second
			time.Sleep(2 * time.Second)
			for b.Loop() {
				bytes, entry, agent := linkBytes(b, f), f.cpuTime(b, "entry:e1"), f.cpuTime(b, "agent:booking-1")
				time.Sleep(idle)
				b.ReportMetric((linkBytes(b, f)-bytes)/idle.Seconds(), "link-bytes/s")
				b.ReportMetric((f.cpuTime(b, "entry:e1")-entry).Seconds()/idle.Seconds()*100, "entry-core-%")
				b.ReportMetric((f.cpuTime(b, "agent:booking-1")-agent).Seconds()/idle.Seconds()*100, "agent-core-%")
				b.ReportMetric(float64(f.residentMemory(b, "entry:e1"))/megabyte, "entry-MB")
				b.ReportMetric(float64(f.residentMemory(b, "agent:booking-1"))/megabyte, "agent-MB")
			}
		})
	}
}

// patch changes the configuration through an entry and waits until the new version is
// in force everywhere.
func (f *fleet) patch(b *testing.B, entry netip.AddrPort, version *int, changes ...string) {
	b.Helper()
	args := append([]string{"patch", "--entry", entry.String(), "--key", operatorKey, "--base", strconv.Itoa(*version), "--wait", "--timeout", "60s"}, changes...)
	if out, err := f.execBinary(args...); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	*version++
}

// addCustomers adds n customers, rounded up to a multiple of batchSize, to a new
// fleet and returns the resulting version.
func (f *fleet) addCustomers(b *testing.B, n int) int {
	b.Helper()
	const batchSize = 500
	version := 1
	for done := 0; done < n; done += batchSize {
		var changes []string
		for i := range batchSize {
			changes = append(changes, fmt.Sprintf("customer.c%d.key=%s", done+i, digest.Of(fmt.Sprint(done+i))))
		}
		f.patch(b, f.site.Entries[0].Addr, &version, changes...)
	}
	return version
}

// BenchmarkCustomers measures the CPU time and traffic of a configuration change, and
// the memory of the processes, by the number of customers.
func BenchmarkCustomers(b *testing.B) {
	for _, n := range []int{1000, 6000, 12000, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := benchFleet(b, "[site]\ndomains = a b\nentries = 1\n\n[pool.booking]\ncount = 4\n")
			version := f.addCustomers(b, n)
			const changes = 10
			for b.Loop() {
				bytes, entry, agent := linkBytes(b, f), f.cpuTime(b, "entry:e1"), f.cpuTime(b, "agent:booking-1")
				for i := range changes {
					f.patch(b, f.site.Entries[0].Addr, &version, fmt.Sprintf("customer.c0.share=%d", i+2))
				}
				b.ReportMetric((f.cpuTime(b, "entry:e1")-entry).Seconds()*1000/changes, "entry-ms/change")
				b.ReportMetric((f.cpuTime(b, "agent:booking-1")-agent).Seconds()*1000/changes, "agent-ms/change")
				b.ReportMetric((linkBytes(b, f)-bytes)/changes/4, "link-bytes/change/peer")
				b.ReportMetric(float64(f.residentMemory(b, "entry:e1"))/megabyte, "entry-MB")
				b.ReportMetric(float64(f.residentMemory(b, "agent:booking-1"))/megabyte, "agent-MB")
			}
		})
	}
}

// BenchmarkOpen measures the memory of entry and agent by the number of requests in
// flight.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1, 400, 800, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := benchFleet(b, "[site]\ndomains = a b\nentries = 1\n\n[pool.draft]\ncount = 2\nfull = 4096\ncold = 4096\nwork = 8s\ntoken = 0s\n",
				"pool.draft.full=4096", "pool.draft.cold=4096", "policy.early=no", "stage.write.tokens=1", "pipeline.draft.deadline=60s")
			client := front.New()
			for b.Loop() {
				var wg sync.WaitGroup
				for i := range n {
					wg.Go(func() {
						if _, err := send(client, f.site.Entries[0].Addr, "draft", fmt.Sprint("w", i), true); err != nil {
							b.Error(err)
						}
					})
				}
				time.Sleep(4 * time.Second)
				b.ReportMetric(mustReadMetric(b, f.site.Entries[0].Addr.String(), "sequoialead_requests_open"), "open")
				b.ReportMetric(float64(f.residentMemory(b, "entry:e1"))/megabyte, "entry-MB")
				b.ReportMetric(float64(f.residentMemory(b, "agent:draft-1"))/megabyte, "agent-MB")
				wg.Wait()
			}
		})
	}
}

// Budget of one daemon for control traffic and processing at the large size, which
// docs/CAPACITY.md describes.
const (
	controlCore   = 3.7     // percent
	controlMemory = 128     // megabytes
	controlBytes  = 4 << 10 // bytes per second
)

// Load on one entry at the large size.
const (
	controlAgents    = 72
	controlCustomers = 24000
	controlPeriod    = 60 * time.Second
	// controlChanges is the number of changes per period at 4,800 changes a day,
	// rounded up.
	controlChanges = 4
)

// BenchmarkControl measures the traffic on an entry's connections to agents, and the
// CPU time and memory of an entry and an agent, without requests but with the agents
// per entry, customers and configuration changes of the large size. It fails if a value
// is above its budget.
func BenchmarkControl(b *testing.B) {
	f := benchFleet(b, fmt.Sprintf("[site]\ndomains = a b\nentries = 4\n\n[pool.booking]\ncount = %d\n", controlAgents))
	version := f.addCustomers(b, controlCustomers)
	for b.Loop() {
		bytes, entry, agent := linkBytes(b, f), f.cpuTime(b, "entry:e1"), f.cpuTime(b, "agent:booking-1")
		for i := range controlChanges {
			f.patch(b, f.site.Entries[1].Addr, &version, fmt.Sprintf("customer.c0.share=%d", i+2))
			time.Sleep(controlPeriod / controlChanges)
		}
		reportWithinBudget(b, "link-bytes/s", (linkBytes(b, f)-bytes)/controlPeriod.Seconds(), controlBytes)
		reportWithinBudget(b, "entry-core-%", (f.cpuTime(b, "entry:e1")-entry).Seconds()/controlPeriod.Seconds()*100, controlCore)
		reportWithinBudget(b, "agent-core-%", (f.cpuTime(b, "agent:booking-1")-agent).Seconds()/controlPeriod.Seconds()*100, controlCore)
		reportWithinBudget(b, "entry-MB", float64(f.residentMemory(b, "entry:e1"))/megabyte, controlMemory)
		reportWithinBudget(b, "agent-MB", float64(f.residentMemory(b, "agent:booking-1"))/megabyte, controlMemory)
	}
}

// reportWithinBudget reports a metric and fails the benchmark if it is above budget.
func reportWithinBudget(b *testing.B, unit string, value, budget float64) {
	b.Helper()
	b.ReportMetric(value, unit)
	if value > budget {
		b.Errorf("%s: got %.1f, budget is %.1f", unit, value, budget)
	}
}
