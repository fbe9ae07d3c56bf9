// Command standin plays the cases of the review: it starts gateways as separate processes
// with the command of the deploy file, beside stand-ins for the platform's store, the
// runners and the requesters, and checks one rule from what these see.
//
//	standin CASE DIR
//
// DIR gets record.txt. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// played is one run of a case.
type played struct {
	dir     string
	tmp     string
	trouble bool
	start   time.Time
	store   *store
	gates   []*gate

	mu       sync.Mutex
	lines    []string
	failures []string
}

var cases = map[string]func(*played) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	tmp, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(tmp) }()
	p := &played{dir: dir, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	p.store, err = newStore(p)
	if err == nil {
		err = cases[name](p)
	}
	p.stopGates()
	code := 0
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		p.lines = append(p.lines, "could not run: "+err.Error())
		code = 2
	case len(p.failures) > 0:
		p.lines = append(p.lines, fmt.Sprintf("rule broken %d times", len(p.failures)))
		p.lines = append(p.lines, p.failures[:min(len(p.failures), 20)]...)
		code = 1
	default:
		p.lines = append(p.lines, "rule held")
	}
	text := fmt.Sprintf("case %s, disruption %v\n%s\n", name, p.trouble, strings.Join(p.lines, "\n"))
	if err := os.WriteFile(filepath.Join(dir, "record.txt"), []byte(text), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(p.lines[len(p.lines)-1-min(len(p.failures), 20)])
	return code
}

// ms returns the time since the start of the run in milliseconds.
func (p *played) ms(at time.Time) int64 { return at.Sub(p.start).Milliseconds() }

// note adds a line to the record.
func (p *played) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, fmt.Sprintf("%6d ", time.Since(p.start).Milliseconds())+fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (p *played) breach(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, fmt.Sprintf(format, args...))
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
