package testscripts

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sequoialead/io/front"
)

// metric returns a value from a process's metrics.
func metric(b *testing.B, addr, name string) float64 {
	b.Helper()
	response, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				b.Fatal(err)
			}
			return value
		}
	}
	b.Fatalf("no metric %s", name)
	return 0
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

// BenchmarkCustomers measures what each change costs, and what memory a
// configuration takes, by the number of customers.
func BenchmarkCustomers(b *testing.B) {
	for _, n := range []int{1000, 6000, 12000, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := benchFleet(b, "[site]\ndomains = a b\nentries = 1\n\n[pool.booking]\ncount = 4\n")
			version := 1
			patch := func(changes ...string) {
				args := append([]string{"patch", "--entry", f.site.Entries[0].Addr.String(), "--key", operatorKey, "--base", strconv.Itoa(version), "--wait", "--timeout", "60s"}, changes...)
				if out, err := f.command(args...); err != nil {
					b.Fatalf("%v: %s", err, out)
				}
				version++
			}
			const step = 500
			for done := 0; done < n; done += step {
				var changes []string
				for i := range step {
					changes = append(changes, fmt.Sprintf("customer.c%d.key=%s", done+i, digest(fmt.Sprint(done+i))))
				}
				patch(changes...)
			}
			const changes = 10
			for b.Loop() {
				bytes, entry, agent := linkBytes(b, f), f.cpu(b, "entry:e1"), f.cpu(b, "agent:booking-1")
				for i := range changes {
					patch(fmt.Sprintf("customer.c0.share=%d", i+2))
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
