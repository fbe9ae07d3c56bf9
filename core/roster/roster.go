// Package roster tracks which backend servers exist, are leaving or are gone,
// from the platform's records. While the platform's store is unavailable,
// records can lapse although their backend servers still run.
package roster

import (
	"time"

	"sequoialead"
)

// settlePeriod is how long a backend server whose record lapsed while the store
// was unavailable may take to be listed again, as the platform documents it.
const settlePeriod = 2 * time.Second

// Record is one change of a backend server's record in the store.
type Record struct {
	ID     string
	Offset uint64
	// Server is nil if the record was deleted.
	Server *sequoialead.Server
	// Unreadable is set if the record can't be decoded. Such records come from
	// other writers and change nothing.
	Unreadable bool
}

// Entry is a backend server that may get requests.
type Entry struct {
	Server sequoialead.Server
	// Read is when its newest record was read.
	Read time.Time
}

// Change is the change of a backend server's state that a record makes.
type Change string

// The changes. A restarted server has a new start time under the same ID. A
// lapsed server's record was deleted while the store was unavailable or shortly
// after, so that it may come back.
const (
	ChangeNone      Change = ""
	ChangeNew       Change = "new"
	ChangeRestarted Change = "reborn"
	ChangeLeaving   Change = "leaving"
	ChangeGone      Change = "gone"
	ChangeLapsed    Change = "lapsed"
)

// serverState is what is known of one backend server.
type serverState struct {
	Entry
	offset uint64
	// gone is set if the newest record deletes the backend server.
	gone bool
	// lapsed is set if it was deleted while the store was unavailable or shortly
	// after.
	lapsed bool
}

// Roster applies the records. It is not safe for concurrent use.
type Roster struct {
	servers map[string]*serverState
	// storeAway is set from the first failed read to the next successful one.
	storeAway bool
	// storeBackAt is when the store last became available again; zero if it
	// never was unavailable.
	storeBackAt time.Time
	// evacuated maps the evacuated failure domains, whose backend servers get no
	// requests, to the offset of the record that says so.
	evacuated map[string]uint64
	// evacuationOffsets maps domains to the newest offset of their record.
	evacuationOffsets map[string]uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{servers: map[string]*serverState{}, evacuated: map[string]uint64{}, evacuationOffsets: map[string]uint64{}}
}

// Away records that the store could not be read.
func (r *Roster) Away() { r.storeAway = true }

// Back records that the store was read, and starts settlePeriod after Away.
func (r *Roster) Back(now time.Time) {
	if r.storeAway {
		r.storeAway = false
		r.storeBackAt = now
	}
}

// Apply applies one record. Records older than the last one of the same backend
// server change nothing.
func (r *Roster) Apply(rec Record, now time.Time) Change {
	s := r.servers[rec.ID]
	if rec.Unreadable || s != nil && (rec.Offset < s.offset || rec.Offset == s.offset && !s.gone) {
		return ChangeNone
	}
	if rec.Server == nil {
		if s == nil {
			return ChangeNone
		}
		s.offset = rec.Offset
		return r.remove(s, now)
	}
	change := ChangeNone
	switch {
	case s == nil:
		s = &serverState{}
		r.servers[rec.ID] = s
		change = ChangeNew
	case !s.Server.StartedAt.Equal(rec.Server.StartedAt):
		change = ChangeRestarted
	case s.gone:
		change = ChangeNew
	}
	if rec.Server.Leaving && !s.Server.Leaving {
		change = ChangeLeaving
	}
	s.Server = *rec.Server
	s.Read = now
	s.offset = rec.Offset
	s.gone, s.lapsed = false, false
	return change
}

func (r *Roster) remove(s *serverState, now time.Time) Change {
	if s.gone {
		return ChangeNone
	}
	s.gone = true
	s.lapsed = r.settling(now) && !s.Server.Leaving
	if s.lapsed {
		return ChangeLapsed
	}
	return ChangeGone
}

// settling reports whether backend servers whose records lapsed may still come
// back.
func (r *Roster) settling(now time.Time) bool {
	return r.storeAway || !r.storeBackAt.IsZero() && now.Sub(r.storeBackAt) < settlePeriod
}

// Replace applies a read that holds the newest record of every key, and returns
// the changes by ID. Backend servers that are missing there have been deleted.
func (r *Roster) Replace(records []Record, now time.Time) map[string]Change {
	changes := map[string]Change{}
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		present[rec.ID] = true
		changes[rec.ID] = r.Apply(rec, now)
	}
	for id, s := range r.servers {
		if !present[id] {
			changes[id] = r.remove(s, now)
		}
	}
	return changes
}

// Evacuate applies an operator's record of a failure domain; out is set if the
// domain is to get no requests.
func (r *Roster) Evacuate(domain string, out bool, offset uint64) {
	if latest, ok := r.evacuationOffsets[domain]; ok && offset < latest {
		return
	}
	r.evacuationOffsets[domain] = offset
	if out {
		r.evacuated[domain] = offset
	} else {
		delete(r.evacuated, domain)
	}
}

// Evacuated returns the set of evacuated failure domains.
func (r *Roster) Evacuated() map[string]bool {
	out := make(map[string]bool, len(r.evacuated))
	for domain := range r.evacuated {
		out[domain] = true
	}
	return out
}

// Usable returns the backend servers that may get new requests. One whose
// record lapsed stays usable until it had time to come back.
func (r *Roster) Usable(now time.Time) []Entry {
	usable := make([]Entry, 0, len(r.servers))
	for id, s := range r.servers {
		settling := r.settling(now)
		if s.gone && !settling {
			r.expire(id, s, now)
		}
		if s.gone && (!s.lapsed || !settling) {
			continue
		}
		if _, out := r.evacuated[s.Server.Domain]; out || s.Server.Leaving {
			continue
		}
		usable = append(usable, s.Entry)
	}
	return usable
}

// offsetRetention is how long the offset of a deleted backend server is kept,
// so that an older record that is read late doesn't bring it back.
const offsetRetention = time.Minute

func (r *Roster) expire(id string, s *serverState, now time.Time) {
	if now.Sub(s.Read) > offsetRetention {
		delete(r.servers, id)
	}
}
