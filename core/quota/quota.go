// Package quota divides an agent's concurrency limit equally between the entries
// that have calls there, so that entries whose calls arrive first cannot starve
// others.
package quota

// Divider counts the calls of each entry at one agent. It is not safe for concurrent
// use.
type Divider struct {
	// admitted counts the queued and running calls by entry. Entries without
	// calls are removed.
	admitted map[string]int
	// running counts the running calls by entry.
	running map[string]int
}

// New returns a divider without any calls.
func New() *Divider { return &Divider{admitted: map[string]int{}, running: map[string]int{}} }

// Admit counts a new queued call of an entry.
func (d *Divider) Admit(entry string) { d.admitted[entry]++ }

// Start counts a queued call of an entry as running.
func (d *Divider) Start(entry string) { d.running[entry]++ }

// Refuse stops counting a queued call of an entry.
func (d *Divider) Refuse(entry string) { decrement(d.admitted, entry) }

// Finish stops counting a running call of an entry.
func (d *Divider) Finish(entry string) {
	decrement(d.admitted, entry)
	decrement(d.running, entry)
}

func decrement(counts map[string]int, entry string) {
	counts[entry]--
	if counts[entry] <= 0 {
		delete(counts, entry)
	}
}

// Quota returns the entry's share of the limit: the limit divided by the number of
// entries that have calls, this entry included, and at least 1.
func (d *Divider) Quota(entry string, limit int) int {
	entries := len(d.admitted)
	if d.admitted[entry] == 0 {
		entries++
	}
	return max(limit/entries, 1)
}

// WithinQuota reports whether an entry has fewer calls than its quota.
func (d *Divider) WithinQuota(entry string, limit int) bool {
	return d.admitted[entry] < d.Quota(entry, limit)
}

// Next returns the index of the queued call to start next, given the entries of
// all queued calls in order of arrival: the first call of the entry that has the
// fewest running calls.
func (d *Divider) Next(queued []string) int {
	next := 0
	for i, entry := range queued {
		if d.running[entry] < d.running[queued[next]] {
			next = i
		}
	}
	return next
}
