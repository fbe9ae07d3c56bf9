package testscripts

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"sequoialead/io/front"
)

// Sizes of the load with shared prefixes.
const (
	prefixRequests = 8000
	prefixWorkers  = 45
	prefixes       = 200
	prefixBytes    = 1024
	tailBytes      = 128
)

// prefixed returns a prompt with a shared prefix and a tail of its own.
func prefixed(random *rand.Rand, i int) string {
	prefix := fmt.Sprintf("prefix %d ", random.IntN(prefixes))
	prefix += strings.Repeat("p", prefixBytes-len(prefix))
	tail := fmt.Sprintf("tail %d ", i)
	return prefix + tail + strings.Repeat("t", tailBytes-len(tail))
}

// BenchmarkPrefix measures the share of prompt blocks found in the servers'
// prefix caches, and the most loaded server over the mean.
func BenchmarkPrefix(b *testing.B) {
	tests := []struct {
		desc    string
		servers int
		full    int
		router  string
	}{
		{desc: "single", servers: 1, full: 64, router: "two"},
		{desc: "affinity", servers: 8, full: 8, router: "affinity"},
		{desc: "two", servers: 8, full: 8, router: "two"},
		{desc: "round", servers: 8, full: 8, router: "round"},
	}
	for _, tt := range tests {
		b.Run(tt.desc, func(b *testing.B) {
			site := fmt.Sprintf("[site]\ndomains = a b\nentries = 2\n\n[pool.draft]\ncount = %d\nfull = %d\ncold = %d\nwork = 20ms\ntoken = 2ms\n", tt.servers, tt.full, tt.full)
			f := benchFleet(b, site,
				fmt.Sprintf("pool.draft.full=%d", tt.full), fmt.Sprintf("pool.draft.cold=%d", tt.full),
				"policy.router="+tt.router, "stage.write.tokens=4")
			for b.Loop() {
				f.sendPrefixed(b)
				f.reportServers(b)
			}
		})
	}
}

// sendPrefixed sends the load from a fixed seed.
func (f *fleet) sendPrefixed(b *testing.B) {
	b.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	texts := make(chan string, prefixRequests)
	for i := range prefixRequests {
		texts <- prefixed(random, i)
	}
	close(texts)
	client := front.New()
	var wait sync.WaitGroup
	for i := range prefixWorkers {
		wait.Go(func() {
			for text := range texts {
				if _, err := send(client, f.site.Entries[i%2].Addr, "draft", text, false); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wait.Wait()
}

// reportServers reports what the servers recorded.
func (f *fleet) reportServers(b *testing.B) {
	b.Helper()
	var hits, lookups, calls, most int
	names := f.selected("pool:draft")
	for _, name := range names {
		s, err := f.stats(name)
		if err != nil {
			b.Fatal(err)
		}
		hits += s.Hits
		lookups += s.Lookups
		calls += s.Calls
		most = max(most, s.Calls)
	}
	b.ReportMetric(100*float64(hits)/float64(lookups), "hits-%")
	b.ReportMetric(float64(most)*float64(len(names))/float64(calls), "most/mean")
}
