package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unread"] = unread }

const (
	// unreadCrowd is the number of clients that don't read their answers.
	unreadCrowd = 1400
	// stableWindow is stable_window_ms of whiskerlane-nz.
	stableWindow = 3 * time.Second
	// unreadRequesters is the number of ordinary requesters; the rule asks for seven.
	unreadRequesters = 8
)

// dialFrom opens a channel from the given loopback address.
func dialFrom(source, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return d.Dial("tcp", addr)
}

// unread plays a crowd of clients that send requests one after the other and read no answer.
func unread(dir string, trouble bool) {
	r := newRig(dir)
	r.store.Put("keyed.op", "config", fmt.Appendf(nil, configText, 7))
	for i := range 4 {
		r.addRunner(fmt.Sprintf("i-desk%d", i), "desk", "akl-a", 6, answer(15*time.Millisecond))
	}
	gs := []*gateway{r.startGateway("front-1", "akl-a")}
	r.waitAllReady(gs)
	g := gs[0]
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	done := make(chan struct{})
	var opened, closed atomic.Int64
	id := strings.Repeat("a", 12000)
	one := "GET /never/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\n\r\n"
	if trouble {
		for range unreadCrowd {
			all.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
					}
					conn, err := dialFrom("127.0.0.2", g.front, 2*time.Second)
					if err == nil {
						opened.Add(1)
						_ = conn.(*net.TCPConn).SetReadBuffer(4096)
						stop := make(chan struct{})
						go func() {
							select {
							case <-done:
							case <-stop:
							}
							_ = conn.Close()
						}()
						for err == nil {
							_, err = conn.Write([]byte(one)) // ends when the gateway closes the channel
						}
						close(stop)
						closed.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	var mu sync.Mutex
	var last = time.Now()
	longest, tries, served := time.Duration(0), 0, 0
	end := time.Now().Add(40 * time.Second)
	for q := range unreadRequesters {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				status := 0
				conn, err := dialFrom("127.0.0.1", g.front, time.Second)
				if err == nil {
					a := askOn(conn, head("GET", "a.example", "/check/x", fmt.Sprintf("%02x%06x", q, n), 2000)+"\r\n", 2*time.Second)
					status, err = a.status, a.err
				}
				mu.Lock()
				tries++
				now := time.Now()
				if status != 0 {
					longest = max(longest, now.Sub(last))
					last = now
				}
				if status == 200 {
					served++
				}
				mu.Unlock()
				r.note("requester %d: %d %v", q, status, err)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	ready, asked := 0, 0
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		a := ask(g.ready, "GET /sequoialead/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", time.Second)
		asked++
		if a.status == 200 {
			ready++
		}
		r.note("ready: %d; crowd opened %d, closed %d; memory %.0f MB", a.status, opened.Load(), closed.Load(), memory(g, "VmHWM"))
	}
	close(done)
	all.Wait()
	longest = max(longest, end.Sub(last))
	fmt.Printf("ready %d of %d; %d of %d ordinary requests served; longest time without any answer to %d requesters: %.1f s\n", ready, asked, served, tries, unreadRequesters, longest.Seconds())
	r.note("ready %d of %d; %d of %d served; longest %.1f s", ready, asked, served, tries, longest.Seconds())
	if longest > stableWindow {
		r.end(1)
	}
	r.end(0)
}
