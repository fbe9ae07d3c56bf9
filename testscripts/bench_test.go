package testscripts

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sequoialead/common/digest"
	"sequoialead/core/payload"
	"sequoialead/io/caller"
	"sequoialead/io/front"
)

// benchFleet starts a fleet without proxies and applies the default configuration
// with changes to it.
func benchFleet(b *testing.B, siteText string, changes ...string) *fleet {
	b.Helper()
	dir := b.TempDir()
	f := &fleet{ports: &portAllocator{}, noProxies: true}
	b.Cleanup(f.close)
	if err := f.start(dir, []byte(siteText)); err != nil {
		b.Fatal(err)
	}
	if err := f.awaitConnections(); err != nil {
		b.Fatal(err)
	}
	raw, err := os.ReadFile("default/configuration.ini")
	if err != nil {
		b.Fatal(err)
	}
	path := filepath.Join(dir, "configuration.ini")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		b.Fatal(err)
	}
	version := 0
	f.patch(b, f.site.Entries[0].Addr, &version, append([]string{"--file", path, "customer.c.key=" + digest.Of(customerKey)}, changes...)...)
	return f
}

// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat.
const ticksPerSecond = 100

// cpuTime returns the CPU time that a process has used in user and kernel mode.
func (f *fleet) cpuTime(b *testing.B, name string) time.Duration {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.procs[name].cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// residentMemory returns the resident set size of a process in bytes.
func (f *fleet) residentMemory(b *testing.B, name string) int {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.procs[name].cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
	return pages * os.Getpagesize()
}

const fastSite = `
[site]
domains = a b
entries = 1

[pool.encoder]
count = 2
full = 64
cold = 64
work = 0s

[pool.retriever]
count = 2
full = 64
cold = 64
work = 0s

[pool.reranker]
count = 2
full = 64
cold = 64
work = 0s

[pool.draft]
count = 4
full = 64
cold = 64
work = 0s
token = 0s

[pool.booking]
count = 1
`

func fastPoolChanges() []string {
	var changes []string
	for _, pool := range []string{"encoder", "retriever", "reranker", "draft"} {
		changes = append(changes, "pool."+pool+".full=64", "pool."+pool+".cold=64", "pool."+pool+".queue=64")
	}
	return changes
}

func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// runAtRate calls do n times at a fixed rate without waiting for earlier calls, and
// returns each call's latency from its scheduled start.
func runAtRate(n int, rate float64, do func(i int) error) ([]time.Duration, error) {
	times := make([]time.Duration, n)
	errs := make([]error, n)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		scheduled := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(scheduled))
		wg.Go(func() {
			errs[i] = do(i)
			times[i] = time.Since(scheduled)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return times, nil
}

func send(client *front.Client, entry netip.AddrPort, pipeline, text string, stream bool) (front.Result, error) {
	result, err := client.Send(context.Background(), entry, front.Request{
		Pipeline: pipeline,
		Key:      customerKey,
		Body:     caller.Request{Text: text, Stream: stream},
	})
	if err == nil && result.Answer.Outcome != "done" {
		err = fmt.Errorf("outcome %s: %s %s", result.Answer.Outcome, result.Answer.Reason, result.Answer.Detail)
	}
	return result, err
}

// callStagesDirectly runs the four stages against the stand-ins for the backend
// servers, without entry and agents.
func (f *fleet) callStagesDirectly(client *http.Client) error {
	post := func(pool, path string, body any) error {
		names := f.selectBackends("pool:" + pool)
		server, err := f.backend(names[0])
		if err != nil {
			return err
		}
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		response, err := client.Post("http://"+server.ServerAddr.String()+path, "application/json", bytes.NewReader(raw))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return err
	}
	if err := post("encoder", "/v1/embeddings", payload.EmbedRequest{Input: []string{"a"}}); err != nil {
		return err
	}
	if err := post("retriever", "/v1/search", payload.SearchRequest{Query: "a", Top: 8}); err != nil {
		return err
	}
	if err := post("reranker", "/v1/rerank", payload.RerankRequest{Query: "a", Documents: make([]string, 8), Top: 3}); err != nil {
		return err
	}
	return post("draft", "/v1/completions", payload.GenerateRequest{Prompt: "a", Tokens: 1, Stream: true})
}

// BenchmarkFourStages measures the latency that entry and agents add to a request of
// four stages at 200 requests/s.
func BenchmarkFourStages(b *testing.B) {
	f := benchFleet(b, fastSite, append(fastPoolChanges(), "stage.write.tokens=1")...)
	client := front.New()
	directClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	entry := f.site.Entries[0].Addr
	const rate, n = 200, 3000
	for b.Loop() {
		for _, requests := range []int{400, n} {
			direct, err := runAtRate(requests, rate, func(int) error { return f.callStagesDirectly(directClient) })
			if err != nil {
				b.Fatal(err)
			}
			throughEntry, err := runAtRate(requests, rate, func(i int) error {
				_, err := send(client, entry, "summary", fmt.Sprint("w", i), false)
				return err
			})
			if err != nil {
				b.Fatal(err)
			}
			for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
				d, t := quantile(direct, q), quantile(throughEntry, q)
				b.ReportMetric(float64(t-d)/float64(time.Millisecond), "ms-added-"+name)
				b.ReportMetric(float64(d)/float64(time.Millisecond), "ms-direct-"+name)
			}
		}
	}
}

// BenchmarkEntryRate measures the throughput of one entry in four-stage requests per
// second, with 64 concurrent callers.
func BenchmarkEntryRate(b *testing.B) {
	f := benchFleet(b, fastSite, append(fastPoolChanges(), "stage.write.tokens=1")...)
	entry := f.site.Entries[0].Addr
	client := front.New()
	const callers, n = 64, 8000
	for b.Loop() {
		cpuBefore, start := f.cpuTime(b, "entry:e1"), time.Now()
		var wg sync.WaitGroup
		for w := range callers {
			wg.Go(func() {
				for i := range n / callers {
					if _, err := send(client, entry, "summary", fmt.Sprint("w", w, "-", i), false); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		wg.Wait()
		seconds := time.Since(start).Seconds()
		b.ReportMetric(n/seconds, "requests/s")
		b.ReportMetric((f.cpuTime(b, "entry:e1")-cpuBefore).Seconds()/n*1e6, "entry-cpu-µs/request")
	}
}

// BenchmarkTokens measures the tokens that an entry, and the agents, relay per second
// of CPU time.
func BenchmarkTokens(b *testing.B) {
	f := benchFleet(b, fastSite, append(fastPoolChanges(), "stage.write.tokens=2000")...)
	entry := f.site.Entries[0].Addr
	client := front.New()
	const callers, rounds = 32, 4
	for b.Loop() {
		entryBefore, agentsBefore, start := f.cpuTime(b, "entry:e1"), f.agentCPU(b), time.Now()
		tokens := 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for w := range callers {
			wg.Go(func() {
				for i := range rounds {
					result, err := send(client, entry, "draft", fmt.Sprint("w", w, "-", i), true)
					if err != nil {
						b.Error(err)
						return
					}
					mu.Lock()
					tokens += result.Answer.Tokens
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		used := f.cpuTime(b, "entry:e1") - entryBefore
		b.ReportMetric(float64(tokens)/used.Seconds(), "tokens/entry-core-s")
		b.ReportMetric(float64(tokens)/(f.agentCPU(b)-agentsBefore).Seconds(), "tokens/agent-core-s")
		b.ReportMetric(float64(tokens)/time.Since(start).Seconds(), "tokens/s")
	}
}

func (f *fleet) agentCPU(b *testing.B) time.Duration {
	sum := time.Duration(0)
	for _, name := range f.selectBackends("all") {
		sum += f.cpuTime(b, "agent:"+name)
	}
	return sum
}

// BenchmarkBetweenTokens measures the time between tokens of 100 concurrent streams
// whose backend servers send a token every 20 ms, and its spread above the median.
func BenchmarkBetweenTokens(b *testing.B) {
	slow := strings.Replace(fastSite, "token = 0s", "token = 20ms", 1)
	f := benchFleet(b, slow, append(fastPoolChanges(), "stage.write.tokens=100")...)
	entry := f.site.Entries[0].Addr
	client := front.New()
	for b.Loop() {
		var gaps []time.Duration
		var mu sync.Mutex
		var wg sync.WaitGroup
		for w := range 100 {
			wg.Go(func() {
				result, err := send(client, entry, "draft", fmt.Sprint("w", w), true)
				if err != nil {
					b.Error(err)
				}
				mu.Lock()
				gaps = append(gaps, result.TokenGaps...)
				mu.Unlock()
			})
		}
		wg.Wait()
		p50, p95 := quantile(gaps, 0.5), quantile(gaps, 0.95)
		b.ReportMetric(float64(p95)/float64(time.Millisecond), "ms-p95")
		b.ReportMetric(float64(p95-p50)/float64(time.Millisecond), "ms-p95-above-p50")
	}
}
