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
	"sequoialead/core/work"
	"sequoialead/io/caller"
	"sequoialead/io/front"
)

// benchFleet starts the fleet of a short site with a configuration.
func benchFleet(b *testing.B, siteText string, changes ...string) *fleet {
	b.Helper()
	dir := b.TempDir()
	f := &fleet{ports: &ports{}, bare: true}
	b.Cleanup(f.close)
	if err := f.start(dir, []byte(siteText)); err != nil {
		b.Fatal(err)
	}
	if err := f.connected(); err != nil {
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
	f.change(b, f.site.Entries[0].Addr, &version, append([]string{"--file", path, "customer.c.key=" + digest.Of(customerKey)}, changes...)...)
	return f
}

// ticksPerSecond is the unit of times in /proc.
const ticksPerSecond = 100

// cpu returns the processor time that a process has used.
func (f *fleet) cpu(b *testing.B, name string) time.Duration {
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

// memory returns the resident memory of a process in bytes.
func (f *fleet) memory(b *testing.B, name string) int {
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

func fastPools() []string {
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

// paced calls a function at a fixed rate, whatever became of earlier calls,
// and returns how long each took from when it was due.
func paced(n int, rate float64, do func(i int) error) ([]time.Duration, error) {
	times := make([]time.Duration, n)
	errs := make([]error, n)
	var wait sync.WaitGroup
	began := time.Now()
	for i := range n {
		due := began.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		wait.Go(func() {
			errs[i] = do(i)
			times[i] = time.Since(due)
		})
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return times, nil
}

func send(client *front.Front, entry netip.AddrPort, pipeline, text string, stream bool) (front.Result, error) {
	result, err := client.Send(context.Background(), entry, front.Request{
		Pipeline: pipeline,
		Key:      customerKey,
		Body:     caller.Body{Text: text, Stream: stream},
	})
	if err == nil && result.Answer.Outcome != "done" {
		err = fmt.Errorf("outcome %s: %s %s", result.Answer.Outcome, result.Answer.Reason, result.Answer.Detail)
	}
	return result, err
}

// direct runs the four stages straight against the stand-ins.
func (f *fleet) direct(client *http.Client) error {
	post := func(pool, path string, body any) error {
		names := f.selected("pool:" + pool)
		server, err := f.backend(names[0])
		if err != nil {
			return err
		}
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		response, err := client.Post("http://"+server.Server.String()+path, "application/json", bytes.NewReader(raw))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return err
	}
	if err := post("encoder", "/v1/embeddings", work.EmbedRequest{Input: []string{"a"}}); err != nil {
		return err
	}
	if err := post("retriever", "/v1/search", work.SearchRequest{Query: "a", Top: 8}); err != nil {
		return err
	}
	if err := post("reranker", "/v1/rerank", work.RerankRequest{Query: "a", Documents: make([]string, 8), Top: 3}); err != nil {
		return err
	}
	return post("draft", "/v1/completions", work.GenerateRequest{Prompt: "a", Tokens: 1, Stream: true})
}

// BenchmarkFourStages measures what entry and agents add to a request of four
// stages at 200 requests/s.
func BenchmarkFourStages(b *testing.B) {
	f := benchFleet(b, fastSite, append(fastPools(), "stage.write.tokens=1")...)
	client := front.New()
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	entry := f.site.Entries[0].Addr
	const rate, n = 200, 3000
	for b.Loop() {
		for _, warm := range []int{400, n} {
			direct, err := paced(warm, rate, func(int) error { return f.direct(plain) })
			if err != nil {
				b.Fatal(err)
			}
			through, err := paced(warm, rate, func(i int) error {
				_, err := send(client, entry, "summary", fmt.Sprint("w", i), false)
				return err
			})
			if err != nil {
				b.Fatal(err)
			}
			for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
				d, t := quantile(direct, q), quantile(through, q)
				b.ReportMetric(float64(t-d)/float64(time.Millisecond), "ms-added-"+name)
				b.ReportMetric(float64(d)/float64(time.Millisecond), "ms-direct-"+name)
			}
		}
	}
}

// BenchmarkEntryRate measures the four-stage requests per second that one
// entry serves to 64 callers.
func BenchmarkEntryRate(b *testing.B) {
	f := benchFleet(b, fastSite, append(fastPools(), "stage.write.tokens=1")...)
	entry := f.site.Entries[0].Addr
	client := front.New()
	const callers, n = 64, 8000
	for b.Loop() {
		before, began := f.cpu(b, "entry:e1"), time.Now()
		var wait sync.WaitGroup
		for w := range callers {
			wait.Go(func() {
				for i := range n / callers {
					if _, err := send(client, entry, "summary", fmt.Sprint("w", w, "-", i), false); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		wait.Wait()
		took := time.Since(began).Seconds()
		b.ReportMetric(n/took, "requests/s")
		b.ReportMetric((f.cpu(b, "entry:e1")-before).Seconds()/n*1e6, "entry-cpu-µs/request")
	}
}

// BenchmarkTokens measures the tokens that an entry relays for each second of
// its processor time.
func BenchmarkTokens(b *testing.B) {
	f := benchFleet(b, fastSite, append(fastPools(), "stage.write.tokens=2000")...)
	entry := f.site.Entries[0].Addr
	client := front.New()
	const callers, rounds = 32, 4
	for b.Loop() {
		before, agents, began := f.cpu(b, "entry:e1"), f.agentCPU(b), time.Now()
		tokens := 0
		var mu sync.Mutex
		var wait sync.WaitGroup
		for w := range callers {
			wait.Go(func() {
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
		wait.Wait()
		used := f.cpu(b, "entry:e1") - before
		b.ReportMetric(float64(tokens)/used.Seconds(), "tokens/entry-core-s")
		b.ReportMetric(float64(tokens)/(f.agentCPU(b)-agents).Seconds(), "tokens/agent-core-s")
		b.ReportMetric(float64(tokens)/time.Since(began).Seconds(), "tokens/s")
	}
}

func (f *fleet) agentCPU(b *testing.B) time.Duration {
	sum := time.Duration(0)
	for _, name := range f.selected("all") {
		sum += f.cpu(b, "agent:"+name)
	}
	return sum
}

// BenchmarkBetweenTokens measures what entry and agents add to the time between
// tokens of 100 streams.
func BenchmarkBetweenTokens(b *testing.B) {
	slow := strings.Replace(fastSite, "token = 0s", "token = 20ms", 1)
	f := benchFleet(b, slow, append(fastPools(), "stage.write.tokens=100")...)
	entry := f.site.Entries[0].Addr
	client := front.New()
	for b.Loop() {
		var gaps []time.Duration
		var mu sync.Mutex
		var wait sync.WaitGroup
		for w := range 100 {
			wait.Go(func() {
				result, err := send(client, entry, "draft", fmt.Sprint("w", w), true)
				if err != nil {
					b.Error(err)
				}
				mu.Lock()
				gaps = append(gaps, result.Gaps...)
				mu.Unlock()
			})
		}
		wait.Wait()
		p50, p95 := quantile(gaps, 0.5), quantile(gaps, 0.95)
		b.ReportMetric(float64(p95)/float64(time.Millisecond), "ms-p95")
		b.ReportMetric(float64(p95-p50)/float64(time.Millisecond), "ms-p95-above-p50")
	}
}
