// Package calls keeps an agent's table of calls by ID. With it, the agent
// recognizes a copy of a call and never runs a call twice.
package calls

import (
	"time"

	"sequoialead"
)

// State is the state of a call in the table.
type State int

// The states of a call.
const (
	// Unseen calls are not in the table.
	Unseen State = iota
	// Queued calls were admitted but not yet sent to the backend server.
	Queued
	// Running calls were sent to the backend server.
	Running
	// Ended calls keep their answer until it is acknowledged or they expire.
	Ended
	// Tombstone is a call that must not start: a copy that arrives is answered
	// with the item's End and never started. The call was refused before its
	// start, or ended and was acknowledged.
	Tombstone
)

// Options holds the bounds of a table.
type Options struct {
	// MaxCalls is the maximum number of calls, tombstones not counted.
	MaxCalls int
	// MaxTombstones is the number of tombstones at which no more calls are added.
	// Acknowledged calls become tombstones, so this also bounds the rate of calls.
	MaxTombstones int
	// MaxBytes is the maximum total size of bodies and answers, in bytes.
	MaxBytes int
	// EndedGrace is how long an ended call is kept past its deadline, or past its
	// end if that is later.
	EndedGrace time.Duration
	// TombstoneTTL is how long a tombstone is kept. It must exceed the time that a
	// message can be in transit.
	TombstoneTTL time.Duration
}

// Item is one call in the table.
type Item struct {
	Call  sequoialead.Call
	State State
	// Chunks is the answer so far. Chunks are only appended, until Acknowledge drops
	// them all.
	Chunks [][]byte
	// End is set once the state is Ended or Tombstone.
	End sequoialead.End
	// Deadline is when the call's TimeLeft, counted from its arrival, has elapsed.
	Deadline time.Time
	// expiry is when the item is dropped; zero while queued or running.
	expiry time.Time
	// size is the number of bytes of the body and the chunks held.
	size int
}

// Table is an agent's table of calls. It is not safe for concurrent use.
type Table struct {
	opts  Options
	items map[sequoialead.CallID]*Item
	// bytes is the sum of the sizes of all items.
	bytes int
	// tombstones is the number of items in the state Tombstone.
	tombstones int
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{opts: opts, items: map[sequoialead.CallID]*Item{}}
}

// Find returns a call, or nil if it is not in the table.
func (t *Table) Find(id sequoialead.CallID) *Item { return t.items[id] }

// Len returns the number of calls in the table, tombstones not counted.
func (t *Table) Len() int { return len(t.items) - t.tombstones }

// Tombstones returns the number of tombstones.
func (t *Table) Tombstones() int { return t.tombstones }

// Bytes returns the total size of the bodies and answers held.
func (t *Table) Bytes() int { return t.bytes }

// Add adds a call that is not in the table yet, as Queued. It returns nil if a
// bound is reached.
func (t *Table) Add(call sequoialead.Call, now time.Time) *Item {
	if t.Len() >= t.opts.MaxCalls || t.tombstones >= t.opts.MaxTombstones || t.bytes+len(call.Body) > t.opts.MaxBytes {
		return nil
	}
	item := &Item{Call: call, State: Queued, Deadline: now.Add(call.TimeLeft), size: len(call.Body)}
	t.items[call.ID] = item
	t.bytes += item.size
	return item
}

// Start marks a queued call as sent to the backend server.
func (t *Table) Start(item *Item) { item.State = Running }

// Append adds a chunk to a running call's answer. It reports false if the call
// is not running or the chunk would exceed MaxBytes.
func (t *Table) Append(item *Item, data []byte) bool {
	if item.State != Running || t.bytes+len(data) > t.opts.MaxBytes {
		return false
	}
	item.Chunks = append(item.Chunks, data)
	item.size += len(data)
	t.bytes += len(data)
	return true
}

// Finish records the end of a running call. It does nothing in any other state.
func (t *Table) Finish(item *Item, end sequoialead.End, now time.Time) {
	if item.State != Running {
		return
	}
	item.State = Ended
	item.End = end
	item.End.Count = uint32(len(item.Chunks))
	t.releaseBody(item)
	item.expiry = later(item.Deadline, now).Add(t.opts.EndedGrace)
}

// Block leaves a tombstone for a call that was not started, so that it never
// starts. If the call is running or has ended, Block returns its item and reports
// false. If the call is not in the table and MaxTombstones is reached, Block
// returns nil and reports false.
func (t *Table) Block(id sequoialead.CallID, reason sequoialead.Reason, now time.Time) (*Item, bool) {
	item := t.items[id]
	if item == nil && t.tombstones >= t.opts.MaxTombstones {
		return nil, false
	}
	if item == nil {
		item = &Item{Call: sequoialead.Call{ID: id}, State: Queued}
		t.items[id] = item
	}
	if item.State == Running || item.State == Ended {
		return item, false
	}
	if item.State == Queued {
		item.State = Tombstone
		t.tombstones++
		item.End = sequoialead.End{Ending: sequoialead.EndRefused, Reason: reason}
		t.releaseBody(item)
	}
	item.expiry = now.Add(t.opts.TombstoneTTL)
	return item, true
}

// releaseBody drops the body of a call that has ended or will not be started.
func (t *Table) releaseBody(item *Item) {
	t.bytes -= len(item.Call.Body)
	item.size -= len(item.Call.Body)
	item.Call.Body = nil
}

// Acknowledge drops the answer of an ended call that the entry has received. The
// item stays as a tombstone, so that a late copy of the call is not run.
func (t *Table) Acknowledge(id sequoialead.CallID, now time.Time) {
	item := t.items[id]
	if item == nil || item.State != Ended {
		return
	}
	t.bytes -= item.size
	item.size = 0
	item.Chunks = nil
	item.State = Tombstone
	t.tombstones++
	item.End = sequoialead.End{Ending: sequoialead.EndLost, Reason: sequoialead.ReasonRepeat}
	item.expiry = now.Add(t.opts.TombstoneTTL)
}

// Expire drops the ended calls and tombstones whose expiry has passed.
func (t *Table) Expire(now time.Time) {
	for id, item := range t.items {
		if !item.expiry.IsZero() && now.After(item.expiry) {
			t.bytes -= item.size
			if item.State == Tombstone {
				t.tombstones--
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
