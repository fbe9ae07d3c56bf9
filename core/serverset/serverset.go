// Package serverset tracks which backend servers exist, are leaving or are gone,
// from the platform's records. While the platform's store is unavailable,
// records can lapse although their backend servers still run.
package serverset

import (
	"time"

	"sequoialead"
)

// settlePeriod is the time after an outage of the store within which running
// backend servers whose records lapsed are listed again. The platform documents
// this time.
const settlePeriod = 2 * time.Second

// copiedDelay is the time after which a server that was gone is taken for running because an
// older copy of the store lists it. By then a running server has written its record again, and
// that of a server that has ended has expired.
const copiedDelay = 10 * time.Second

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

// Member is a backend server that may get requests.
type Member struct {
	Server sequoialead.Server
	// ReadAt is when its newest record was read.
	ReadAt time.Time
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
	Member
	offset uint64
	// gone is set if the newest record deletes the backend server.
	gone bool
	// goneAt is when that record was read.
	goneAt time.Time
	// lapsed is set if it was deleted while the store was unavailable or shortly
	// after.
	lapsed bool
	// copied is the record of a server that is gone in the copy that the store came back
	// from at copiedAt; nil if it has none there, or if a newer record has been read since.
	copied   *sequoialead.Server
	copiedAt time.Time
}

// Set is the set of backend servers that the records list. It is not safe for
// concurrent use.
type Set struct {
	servers map[string]*serverState
	// storeFailed is set from the first failed read to the next successful one.
	storeFailed bool
	// storeRecoveredAt is when the store last became available again; zero if it
	// never was unavailable.
	storeRecoveredAt time.Time
	// restarted is set from Restart to the next Replace.
	restarted bool
	// evacuated maps the evacuated failure domains, whose backend servers get no
	// new requests, to the offset of the record that evacuated them.
	evacuated map[string]uint64
	// evacuationOffsets maps domains to the offset of the newest record that
	// started or ended their evacuation.
	evacuationOffsets map[string]uint64
}

// New returns an empty set.
func New() *Set {
	return &Set{servers: map[string]*serverState{}, evacuated: map[string]uint64{}, evacuationOffsets: map[string]uint64{}}
}

// StoreFailed must be called after a failed read of the store.
func (set *Set) StoreFailed() { set.storeFailed = true }

// StoreRead must be called after a successful read. The first one after
// StoreFailed starts settlePeriod.
func (set *Set) StoreRead(now time.Time) {
	if set.storeFailed {
		set.storeFailed = false
		set.storeRecoveredAt = now
	}
}

// Restart must be called before records of another era of the store are applied, the first of
// which must come from a complete read. The store has come back from an older copy: offsets
// don't continue, servers that started since have to write their records again, and records
// of the copy may be older than what is known.
func (set *Set) Restart(now time.Time) {
	if len(set.servers) == 0 {
		return
	}
	set.restarted = true
	set.storeRecoveredAt = now
	for _, s := range set.servers {
		s.offset = 0
	}
}

// applyCopied applies a record of the first complete read after Restart. It may be newer or
// older than what is known. A server that leaves doesn't stay, and one that has ended doesn't
// run again under the same start time, unless it writes its record again.
func (set *Set) applyCopied(rec Record, now time.Time) Change {
	s := set.servers[rec.ID]
	if s == nil || rec.Server == nil || rec.Unreadable || rec.Server.StartedAt.After(s.Server.StartedAt) {
		return set.Apply(rec, now)
	}
	s.offset = rec.Offset
	switch {
	case rec.Server.StartedAt.Before(s.Server.StartedAt):
		return ChangeNone
	case s.gone:
		if !s.Server.Leaving {
			s.copied, s.copiedAt = rec.Server, now
		}
		return ChangeNone
	}
	server := *rec.Server
	server.ColdLeft = min(server.ColdLeft, max(s.ReadAt.Add(s.Server.ColdLeft).Sub(now), 0))
	change := ChangeNone
	if server.Leaving && !s.Server.Leaving {
		change = ChangeLeaving
	}
	server.Leaving = server.Leaving || s.Server.Leaving
	s.Server, s.ReadAt = server, now
	return change
}

// Apply applies one record. Records older than the last one of the same backend
// server change nothing.
func (set *Set) Apply(rec Record, now time.Time) Change {
	s := set.servers[rec.ID]
	if rec.Unreadable || s != nil && (rec.Offset < s.offset || rec.Offset == s.offset && !s.gone) {
		return ChangeNone
	}
	if rec.Server == nil {
		if s == nil {
			return ChangeNone
		}
		s.offset = rec.Offset
		return set.remove(s, now)
	}
	change := ChangeNone
	switch {
	case s == nil:
		s = &serverState{}
		set.servers[rec.ID] = s
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
	s.ReadAt = now
	s.offset = rec.Offset
	s.gone, s.lapsed, s.copied = false, false, nil
	return change
}

func (set *Set) remove(s *serverState, now time.Time) Change {
	s.copied = nil
	if s.gone {
		return ChangeNone
	}
	s.gone, s.goneAt = true, now
	s.lapsed = set.settling(now) && !s.Server.Leaving
	if s.lapsed {
		return ChangeLapsed
	}
	return ChangeGone
}

// settling reports whether backend servers whose records lapsed may still come
// back.
func (set *Set) settling(now time.Time) bool {
	return set.storeFailed || !set.storeRecoveredAt.IsZero() && now.Sub(set.storeRecoveredAt) < settlePeriod
}

// Replace applies a read that holds the newest record of every key, and returns
// the changes by ID. Backend servers that are missing there have been deleted.
func (set *Set) Replace(records []Record, now time.Time) map[string]Change {
	changes := map[string]Change{}
	apply := set.Apply
	if set.restarted {
		set.restarted = false
		apply = set.applyCopied
	}
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		present[rec.ID] = true
		changes[rec.ID] = apply(rec, now)
	}
	for id, s := range set.servers {
		if !present[id] {
			changes[id] = set.remove(s, now)
		}
	}
	return changes
}

// Evacuate applies an operator's record of a failure domain. If evacuated is
// set, the backend servers of the domain get no new requests.
func (set *Set) Evacuate(domain string, evacuated bool, offset uint64) {
	if latest, ok := set.evacuationOffsets[domain]; ok && offset < latest {
		return
	}
	set.evacuationOffsets[domain] = offset
	if evacuated {
		set.evacuated[domain] = offset
	} else {
		delete(set.evacuated, domain)
	}
}

// RestartEvacuations must be called before Evacuate gets offsets of another era of the store.
func (set *Set) RestartEvacuations() { clear(set.evacuationOffsets) }

// Evacuated returns the set of evacuated failure domains.
func (set *Set) Evacuated() map[string]bool {
	domains := make(map[string]bool, len(set.evacuated))
	for domain := range set.evacuated {
		domains[domain] = true
	}
	return domains
}

// Usable returns the backend servers that may get new requests. One whose
// record lapsed stays usable until settlePeriod is over.
func (set *Set) Usable(now time.Time) []Member {
	usable := make([]Member, 0, len(set.servers))
	for id, s := range set.servers {
		settling := set.settling(now)
		if s.copied != nil && now.Sub(s.copiedAt) >= copiedDelay {
			s.Member, s.gone, s.copied = Member{Server: *s.copied, ReadAt: s.copiedAt}, false, nil
		}
		if s.gone && !settling {
			set.expire(id, s, now)
		}
		if s.gone && (!s.lapsed || !settling) {
			continue
		}
		if _, evacuated := set.evacuated[s.Server.Domain]; evacuated || s.Server.Leaving {
			continue
		}
		usable = append(usable, s.Member)
	}
	return usable
}

// offsetRetention is how long a deleted backend server is known, so that an older record that
// is read late, or that an older copy of the store holds, doesn't bring it back.
const offsetRetention = time.Minute

func (set *Set) expire(id string, s *serverState, now time.Time) {
	if s.copied == nil && now.Sub(s.goneAt) > offsetRetention {
		delete(set.servers, id)
	}
}
