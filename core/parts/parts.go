// Package parts divides an agent's concurrency limit equally between the entries
// that have calls there, so that entries that came first cannot block others.
package parts

// Parts counts the calls of each entry at one agent. It is not safe for concurrent
// use.
type Parts struct {
	// admitted counts the waiting and running calls by entry. Entries without
	// calls are removed.
	admitted map[string]int
	// running counts the running calls by entry.
	running map[string]int
}

// New returns Parts without any calls.
func New() *Parts { return &Parts{admitted: map[string]int{}, running: map[string]int{}} }

// Admit counts a new waiting call of an entry.
func (p *Parts) Admit(entry string) { p.admitted[entry]++ }

// Start counts a waiting call of an entry as running.
func (p *Parts) Start(entry string) { p.running[entry]++ }

// Refuse stops counting a waiting call of an entry.
func (p *Parts) Refuse(entry string) { decrement(p.admitted, entry) }

// Finish stops counting a running call of an entry.
func (p *Parts) Finish(entry string) {
	decrement(p.admitted, entry)
	decrement(p.running, entry)
}

func decrement(counts map[string]int, entry string) {
	counts[entry]--
	if counts[entry] <= 0 {
		delete(counts, entry)
	}
}

// Part returns the entry's part of the limit: the limit divided by the number of
// entries that have calls, this entry included, and at least 1.
func (p *Parts) Part(entry string, limit int) int {
	entries := len(p.admitted)
	if p.admitted[entry] == 0 {
		entries++
	}
	return max(limit/entries, 1)
}

// Within reports whether an entry has fewer calls than its part.
func (p *Parts) Within(entry string, limit int) bool { return p.admitted[entry] < p.Part(entry, limit) }

// Next returns the index of the waiting call to start next, given the entries of
// all waiting calls in order of arrival: the first call of the entry that has the
// fewest running calls.
func (p *Parts) Next(waiting []string) int {
	next := 0
	for i, entry := range waiting {
		if p.running[entry] < p.running[waiting[next]] {
			next = i
		}
	}
	return next
}
