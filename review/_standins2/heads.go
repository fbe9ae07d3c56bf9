package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = heads }

const (
	// headsClients is the number of channels; each sends one request.
	headsClients = 1360
	// headsMemory is memory_mb of a front machine of whiskerlane-nz.
	headsMemory = 284
)

// heads plays requesters whose heads are inside the limits, and have many short lines and many
// parts of a prompt.
func heads(dir string, trouble bool) {
	r := newRig(dir)
	r.store.Put("keyed.op", "config", fmt.Appendf(nil, configText, 7))
	for i := range 9 {
		r.addRunner(fmt.Sprintf("i-purr%d", i), "purr", "akl-a", 64, stream(3*time.Second, 5, 200*time.Millisecond))
	}
	gs := []*gateway{r.startGateway("front-1", "akl-a")}
	r.waitAllReady(gs)
	g := gs[0]
	time.Sleep(2 * time.Second)
	lines := ""
	if trouble {
		const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
		var b strings.Builder
		for i := 0; b.Len() < 3600; i++ {
			fmt.Fprintf(&b, "%c%c:\r\n", letters[i%36], letters[i/36])
		}
		lines = b.String()
	}
	var all sync.WaitGroup
	var opened atomic.Int64
	done := make(chan struct{})
	for i := range headsClients {
		parts := fmt.Sprintf("%x:10,%x:10", i, 1<<30+i)
		if trouble {
			var b strings.Builder
			for k := 0; b.Len() < 11200; k++ {
				fmt.Fprintf(&b, "%x:0,", i<<12+k)
			}
			parts = b.String() + parts
		}
		text := head("POST", "a.example", "/notes/x", fmt.Sprintf("q%06d", i), 12000, "Model: m", "Token-Count: 200,10") + lines + "Prompt-Prefix: " + parts + "\r\nContent-Length: 4\r\n\r\nbody"
		if i == 0 {
			r.note("a head has %d bytes and %d lines", len(text)-4, strings.Count(text, "\n"))
		}
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", g.front, 2*time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			opened.Add(1)
			go func() {
				<-done
				_ = conn.Close()
			}()
			buffer := make([]byte, 4096)
			for {
				if _, err := conn.Write([]byte(text)); err != nil {
					return
				}
				n, err := conn.Read(buffer)
				if err != nil {
					return
				}
				if !strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 503") {
					refused := string(buffer[:min(n, 60)])
					r.note("channel %d: %q", i, refused)
					break
				}
				select { // it comes again as a refused requester does
				case <-time.After(300 * time.Millisecond):
				case <-done:
					return
				}
			}
			<-done
		})
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		r.note("memory %.0f MB, at most %.0f MB", memory(g, "VmRSS"), memory(g, "VmHWM"))
	}
	most := memory(g, "VmHWM")
	close(done)
	all.Wait()
	fmt.Printf("%d channels; at most %.0f MB of %d\n", opened.Load(), most, headsMemory)
	if opened.Load() < headsClients {
		r.end(2)
	}
	if most > headsMemory {
		r.end(1)
	}
	r.end(0)
}
