package testscripts

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"sequoialead/io/front"
)

// Load of BenchmarkPrefix: prompts that share a prefix with others.
const (
	prefixRequests = 8000
	prefixWorkers  = 45
	prefixCount    = 200
	prefixBytes    = 1024
	tailBytes      = 128
)

// sharedPrefixPrompt returns a prompt with a random shared prefix and a unique tail.
func sharedPrefixPrompt(random *rand.Rand, i int) string {
	prefix := fmt.Sprintf("prefix %d ", random.IntN(prefixCount))
	prefix += strings.Repeat("p", prefixBytes-len(prefix))
	tail := fmt.Sprintf("tail %d ", i)
	return prefix + tail + strings.Repeat("t", tailBytes-len(tail))
}

// BenchmarkPrefix measures, for each router, the hit rate of the servers' prefix
// caches in prompt blocks, and the ratio of the busiest server's calls to the mean.
func BenchmarkPrefix(b *testing.B) {
	tests := []struct {
		desc    string
		servers int
		limit   int
		router  string
	}{
		{desc: "single", servers: 1, limit: 64, router: "two"},
		{desc: "affinity", servers: 8, limit: 8, router: "affinity"},
		{desc: "two", servers: 8, limit: 8, router: "two"},
		{desc: "round", servers: 8, limit: 8, router: "round"},
	}
	for _, tt := range tests {
		b.Run(tt.desc, func(b *testing.B) {
			site := fmt.Sprintf("[site]\ndomains = a b\nentries = 2\n\n[pool.draft]\ncount = %d\nfull = %d\ncold = %d\nwork = 20ms\ntoken = 2ms\n", tt.servers, tt.limit, tt.limit)
			f := benchFleet(b, site,
				fmt.Sprintf("pool.draft.full=%d", tt.limit), fmt.Sprintf("pool.draft.cold=%d", tt.limit),
				"policy.router="+tt.router, "stage.write.tokens=4")
			for b.Loop() {
				f.sendPrefixLoad(b)
				f.reportCacheAndBalance(b)
			}
		})
	}
}

// sendPrefixLoad sends the prompts, which are the same in each run.
func (f *fleet) sendPrefixLoad(b *testing.B) {
	b.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	texts := make(chan string, prefixRequests)
	for i := range prefixRequests {
		texts <- sharedPrefixPrompt(random, i)
	}
	close(texts)
	client := front.New()
	var wg sync.WaitGroup
	for i := range prefixWorkers {
		wg.Go(func() {
			for text := range texts {
				if _, err := send(client, f.site.Entries[i%2].Addr, "draft", text, false); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
}

// reportCacheAndBalance reports the cache hit rate and the load balance that the
// servers recorded.
func (f *fleet) reportCacheAndBalance(b *testing.B) {
	b.Helper()
	var hits, lookups, calls, maxCalls int
	names := f.selectBackends("pool:draft")
	for _, name := range names {
		s, err := f.backendStats(name)
		if err != nil {
			b.Fatal(err)
		}
		hits += s.Hits
		lookups += s.Lookups
		calls += s.Calls
		maxCalls = max(maxCalls, s.Calls)
	}
	b.ReportMetric(100*float64(hits)/float64(lookups), "hits-%")
	b.ReportMetric(float64(maxCalls)*float64(len(names))/float64(calls), "most/mean")
}
