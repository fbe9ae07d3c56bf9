package main

import (
	"sort"
	"time"

	"sequoialead/fake/store"
)

// Figures of the users' sheet for whiskerlane-nz.
const (
	coldPerS  = 23.0
	coldOver  = 1.5
	coldSlack = 5.0
	coldTime  = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
)

// coldBound is how many requests all machines together may send to a cold runner in a second.
const coldBound = coldPerS*coldOver + coldSlack

const outageConfig = `{"version":3,"routes":[
 {"name":"slot-hold","host":"pule25.example","path_prefix":"/hold/","kind":"unsafe","timeout_ms":600,"slo_ms":100,"priority":2,"service":"slot-desk","max_attempts":1}],
 "services":[{"name":"slot-desk","max_conns":280,"health_path":"/healthz","cold_start_s":3,"cold_per_s":23}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000},
 "tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"]}]}`

const (
	// leadTime is the time from the start of the machines to that of the traffic.
	leadTime = 10 * time.Second
	outageAt = 4 * time.Second
	// outageTime is how long the store answers 503.
	outageTime = 40 * time.Second
	// outageColdAt is when the runners become cold again: a second after the store is back.
	outageColdAt = 45 * time.Second
	outageEnd    = 50 * time.Second
	perSecond    = 160
)

// playOutage plays an outage of the store. A second after its end the runners become cold again.
func playOutage(s *site, trouble bool) bool {
	s.store.Put("keyed.op", "config", []byte(outageConfig))
	runners := []*runner{s.startRunner("i-7f3a91c2", "slot-desk", 64, 15*time.Millisecond), s.startRunner("i-7f3a91c3", "slot-desk", 64, 15*time.Millisecond)}
	for _, r := range runners {
		r.crashRate = 3 * coldPerS
	}
	s.startGateways(5)
	start := time.Now().Add(leadTime)
	for _, r := range runners {
		go func() {
			for {
				select {
				case <-time.After(heartbeat):
				case <-r.stop:
					return
				}
				if down := trouble && time.Since(start) > outageAt && time.Since(start) < outageAt+outageTime; !down {
					r.writeEntry()
				}
			}
		}()
		defer close(r.stop)
	}
	if trouble {
		time.AfterFunc(leadTime+outageAt, func() {
			s.store.SetFault(store.Fault{Down: true})
			s.record("the store is down (503)")
		})
		time.AfterFunc(leadTime+outageAt+outageTime, func() {
			s.store.SetFault(store.Fault{})
			s.record("the store is back")
		})
	}
	time.AfterFunc(leadTime+outageColdAt, func() {
		for _, r := range runners {
			r.mu.Lock()
			r.coldEnd = time.Now().Add(coldTime)
			r.mu.Unlock()
		}
		s.record("both runners are cold for %s", coldTime)
	})
	time.Sleep(leadTime) // the gateways know each other then
	q := newRequester()
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for n := 0; time.Since(start) < outageEnd; n++ {
		<-tick.C
		go q.send(s.procs[n%len(s.procs)], "/hold/2f", 600*time.Millisecond)
		if n%(5*perSecond) == 0 {
			s.record("answers so far by status: %v", q.counts())
		}
	}
	time.Sleep(time.Second)
	s.record("answers so far by status: %v", q.counts())
	broken := false
	coldFrom := start.Add(outageColdAt)
	for _, r := range runners {
		s.record("%s: %d running requests were lost in crashes", r.id, r.lost)
	}
	for _, r := range runners {
		list := r.list()
		most, at := mostPerSecond(list, coldFrom, coldFrom.Add(coldTime))
		before, _ := mostPerSecond(list, start, start.Add(outageAt))
		s.record("%s: at most %d requests sent and arrived in one second while cold (from %.3f s of the cold time), allowed %.1f; before the outage at most %d", r.id, most, at.Sub(coldFrom).Seconds(), coldBound, before)
		for second := 0; second < int(outageEnd/time.Second); second++ {
			n := 0
			for _, a := range list {
				if since := a.at.Sub(start); since >= time.Duration(second)*time.Second && since < time.Duration(second+1)*time.Second {
					n++
				}
			}
			s.detail("%s second %d: %d requests", r.id, second, n)
		}
		broken = broken || float64(most) > coldBound
	}
	return broken
}

// mostPerSecond returns the largest number of requests that were sent and arrived inside one
// second between two times, and where that second starts.
func mostPerSecond(list []arrival, from, to time.Time) (most int, at time.Time) {
	var inside []arrival
	for _, a := range list {
		if !a.sent.Before(from) && a.at.Before(to) {
			inside = append(inside, a)
		}
	}
	sort.Slice(inside, func(i, k int) bool { return inside[i].sent.Before(inside[k].sent) })
	for i, first := range inside {
		n := 0
		for _, a := range inside[i:] {
			if a.at.Sub(first.sent) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}
