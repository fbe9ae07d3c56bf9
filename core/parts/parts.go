// Package parts divides an agent's limit between the entries that have calls
// there, so that none is kept out by those that came first.
package parts

// Parts counts the calls of each entry. It is not safe for concurrent use.
type Parts struct {
	// held counts the calls of an entry that wait or run. It holds no entry
	// without calls.
	held map[string]int
	// running counts those that run.
	running map[string]int
}

// New returns parts without calls.
func New() *Parts { return &Parts{held: map[string]int{}, running: map[string]int{}} }

// Admit counts a call that waits.
func (p *Parts) Admit(entry string) { p.held[entry]++ }

// Start counts a waiting call as running.
func (p *Parts) Start(entry string) { p.running[entry]++ }

// Refuse ends the count of a waiting call.
func (p *Parts) Refuse(entry string) { lower(p.held, entry) }

// Finish ends the count of a running call.
func (p *Parts) Finish(entry string) {
	lower(p.held, entry)
	lower(p.running, entry)
}

func lower(counts map[string]int, entry string) {
	counts[entry]--
	if counts[entry] <= 0 {
		delete(counts, entry)
	}
}

// Part returns the number of calls that an entry may hold while others want
// the rest. It is at least 1.
func (p *Parts) Part(entry string, limit int) int {
	entries := len(p.held)
	if p.held[entry] == 0 {
		entries++
	}
	return max(limit/entries, 1)
}

// Within reports whether an entry holds less than its part.
func (p *Parts) Within(entry string, limit int) bool { return p.held[entry] < p.Part(entry, limit) }

// Next returns the index of the waiting call that is to run next, given the
// entries of all in the order of their arrival: the first of the entry with
// the fewest running calls.
func (p *Parts) Next(waiting []string) int {
	next := 0
	for i, entry := range waiting {
		if p.running[entry] < p.running[waiting[next]] {
			next = i
		}
	}
	return next
}
