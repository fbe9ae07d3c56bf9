// Package admit estimates how long a request would wait for a pool, from the number of
// admitted requests that still have to run there.
package admit

import "time"

type account struct {
	// committed is the number of admitted requests that still have to run.
	committed int
	weight    int
}

type pool struct {
	committed int
	// weights is the sum of the weights of the customers that have requests.
	weights   int
	customers map[string]*account
}

// Tracker counts the admitted requests by pool and customer. It is not safe for
// concurrent use.
type Tracker struct {
	// pools contains only pools and customers that have requests.
	pools map[string]*pool
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{pools: map[string]*pool{}} }

// Add counts an admitted request of a customer that will run at a pool.
func (t *Tracker) Add(name, customer string, weight int) {
	p := t.pools[name]
	if p == nil {
		p = &pool{customers: map[string]*account{}}
		t.pools[name] = p
	}
	a := p.customers[customer]
	if a == nil {
		a = &account{weight: max(weight, 1)}
		p.customers[customer] = a
		p.weights += a.weight
	}
	a.committed++
	p.committed++
}

// Remove removes a request that has run at a pool, or never will.
func (t *Tracker) Remove(name, customer string) {
	p := t.pools[name]
	if p == nil || p.customers[customer] == nil {
		return
	}
	a := p.customers[customer]
	a.committed--
	p.committed--
	if a.committed == 0 {
		delete(p.customers, customer)
		p.weights -= a.weight
	}
	if p.committed == 0 {
		delete(t.pools, name)
	}
}

// Committed returns the number of admitted requests that still have to run at a pool.
func (t *Tracker) Committed(name string) int {
	if p := t.pools[name]; p != nil {
		return p.committed
	}
	return 0
}

// EstimateWait estimates how long one more request of a customer would wait for a
// pool with the given number of slots and time per request. With fair queuing, a
// customer has its share of the slots, or more if other customers leave slots
// unused, and waits only for its own requests. Otherwise a request waits for all
// requests before it.
func (t *Tracker) EstimateWait(name, customer string, weight, slots int, service time.Duration, fair bool) time.Duration {
	p := t.pools[name]
	if p == nil || slots <= 0 || p.committed < slots {
		return 0
	}
	ahead, rate := float64(p.committed), float64(slots)
	if fair {
		own, weights := 0, p.weights
		if a := p.customers[customer]; a != nil {
			own = a.committed
		} else {
			weights += max(weight, 1)
		}
		guaranteed := float64(slots) * float64(max(weight, 1)) / float64(weights)
		unused := float64(slots - (p.committed - own))
		rate = max(guaranteed, unused)
		ahead = float64(own)
	}
	return time.Duration(max(ahead-rate+1, 0) / rate * float64(service))
}
