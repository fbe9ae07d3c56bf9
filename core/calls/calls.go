// Package calls keeps an agent's table of calls, so that a call that arrives
// again attaches to the first and never runs twice. Besides the table it
// exports its bounds and what it holds.
package calls

import (
	"time"

	"sequoialead"
)

// State is how far a call has come.
type State int

// The states of a call.
const (
	// Unseen calls are not in the table.
	Unseen State = iota
	// Waiting calls were admitted and not sent to the backend server.
	Waiting
	// Running calls were sent to the backend server.
	Running
	// Ended calls keep their answer until it is acknowledged or expires.
	Ended
	// Barred calls were never started and never will be.
	Barred
)

// Options bounds a table.
type Options struct {
	// Calls is the most calls in the table, the barred ones not counted.
	Calls int
	// Bars is the most barred calls. An ended call that is forgotten becomes
	// one, so it bounds the rate of calls too.
	Bars int
	// Bytes is the most bytes of bodies and answers in the table.
	Bytes int
	// Grace is how long an ended call is kept past its deadline.
	Grace time.Duration
	// Bar is how long a barred call is kept. It is longer than a message can
	// stay on its way.
	Bar time.Duration
}

// Item is one call of the table.
type Item struct {
	Call  sequoialead.Call
	State State
	// Chunks is the answer so far. It only grows.
	Chunks [][]byte
	// End is set once the state is Ended or Barred.
	End sequoialead.End
	// Deadline is when the request's time is over.
	Deadline time.Time
	// expires is when the item is dropped; zero while waiting or running.
	expires time.Time
	size    int
}

// Table is an agent's table of calls. It is not safe for concurrent use.
type Table struct {
	opts  Options
	items map[sequoialead.CallID]*Item
	// bytes is the sum of the sizes of all items.
	bytes int
	// bars is the number of items in the state Barred.
	bars int
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{opts: opts, items: map[sequoialead.CallID]*Item{}}
}

// Find returns a call, or nil.
func (t *Table) Find(id sequoialead.CallID) *Item { return t.items[id] }

// Len returns the number of calls in the table, the barred ones not counted.
func (t *Table) Len() int { return len(t.items) - t.bars }

// Bars returns the number of barred calls.
func (t *Table) Bars() int { return t.bars }

// Bytes returns the number of bytes that the table holds.
func (t *Table) Bytes() int { return t.bytes }

// Add admits a call that is not in the table. It returns nil if there is no
// room.
func (t *Table) Add(call sequoialead.Call, now time.Time) *Item {
	if t.Len() >= t.opts.Calls || t.bars >= t.opts.Bars || t.bytes+len(call.Body) > t.opts.Bytes {
		return nil
	}
	item := &Item{Call: call, State: Waiting, Deadline: now.Add(call.Left), size: len(call.Body)}
	t.items[call.ID] = item
	t.bytes += item.size
	return item
}

// Start marks a waiting call as sent to the backend server.
func (t *Table) Start(item *Item) { item.State = Running }

// Append adds a chunk to a running call's answer. It reports false if there
// is no room.
func (t *Table) Append(item *Item, data []byte) bool {
	if item.State != Running || t.bytes+len(data) > t.opts.Bytes {
		return false
	}
	item.Chunks = append(item.Chunks, data)
	item.size += len(data)
	t.bytes += len(data)
	return true
}

// Finish ends a running call.
func (t *Table) Finish(item *Item, end sequoialead.End, now time.Time) {
	if item.State != Running {
		return
	}
	item.State = Ended
	item.End = end
	item.End.Count = uint32(len(item.Chunks))
	t.release(item)
	item.expires = later(item.Deadline, now).Add(t.opts.Grace)
}

// Bar makes sure that a call never runs. It reports false if the call was
// started already, and returns nil if there is no room to remember it.
func (t *Table) Bar(id sequoialead.CallID, reason sequoialead.Reason, now time.Time) (*Item, bool) {
	item := t.items[id]
	if item == nil && t.bars >= t.opts.Bars {
		return nil, false
	}
	if item == nil {
		item = &Item{Call: sequoialead.Call{ID: id}, State: Waiting}
		t.items[id] = item
	}
	if item.State == Running || item.State == Ended {
		return item, false
	}
	if item.State == Waiting {
		item.State = Barred
		t.bars++
		item.End = sequoialead.End{Ending: sequoialead.EndRefused, Reason: reason}
		t.release(item)
	}
	item.expires = now.Add(t.opts.Bar)
	return item, true
}

// release frees the body, which is not needed after the call's start.
func (t *Table) release(item *Item) {
	t.bytes -= len(item.Call.Body)
	item.size -= len(item.Call.Body)
	item.Call.Body = nil
}

// Forget drops an ended call whose answer has arrived. The item stays as a bar
// so that a late copy of the call is not run.
func (t *Table) Forget(id sequoialead.CallID, now time.Time) {
	item := t.items[id]
	if item == nil || item.State != Ended {
		return
	}
	t.bytes -= item.size
	item.size = 0
	item.Chunks = nil
	item.State = Barred
	t.bars++
	item.End = sequoialead.End{Ending: sequoialead.EndLost, Reason: sequoialead.ReasonRepeat}
	item.expires = now.Add(t.opts.Bar)
}

// Expire drops what is no longer needed.
func (t *Table) Expire(now time.Time) {
	for id, item := range t.items {
		if !item.expires.IsZero() && now.After(item.expires) {
			t.bytes -= item.size
			if item.State == Barred {
				t.bars--
			}
			delete(t.items, id)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
