package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxRecordItems bounds the crashes, verdicts and refuted parts of one record.
const maxRecordItems = 16

// record is what an entry tells the others, as it is stored. Times are Unix milliseconds.
type record struct {
	Crashes  []crashRecord   `cbor:"1,keyasint,omitempty"`
	Verdicts []verdictRecord `cbor:"2,keyasint,omitempty"`
	Refuted  []refutedRecord `cbor:"3,keyasint,omitempty"`
}

// crashRecord is the end of a server process with the parts of this entry's suspects.
type crashRecord struct {
	Server    string     `cbor:"1,keyasint"`
	StartedAt int64      `cbor:"2,keyasint"`
	At        int64      `cbor:"3,keyasint"`
	Begun     [][]uint64 `cbor:"4,keyasint,omitempty"`
	Waiting   [][]uint64 `cbor:"5,keyasint,omitempty"`
}

type verdictRecord struct {
	Parts []uint64 `cbor:"1,keyasint"`
	Until int64    `cbor:"2,keyasint"`
}

type refutedRecord struct {
	Part uint64 `cbor:"1,keyasint"`
	At   int64  `cbor:"2,keyasint"`
}

// Record returns what the other entries should know, encoded; empty if there is nothing.
func (q *Quarantine) Record() ([]byte, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, wall := q.opts.Now(), q.opts.Wall()
	q.evidence.prune(now)
	var r record
	for id, c := range q.evidence.crashes {
		if own := c.reports[q.opts.Entry]; own != nil {
			r.Crashes = append(r.Crashes, crashRecord{
				Server: id.server, StartedAt: id.startedAt, At: c.happenedAt.UnixMilli(),
				Begun: q.stillSuspect(own.begun, c), Waiting: q.stillSuspect(own.waiting, c),
			})
		}
	}
	slices.SortFunc(r.Crashes, func(a, b crashRecord) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxRecordItems)]
	for _, v := range q.current(now) {
		if v.own && len(r.Verdicts) < maxRecordItems {
			r.Verdicts = append(r.Verdicts, verdictRecord{Parts: v.parts, Until: wall.Add(v.until.Sub(now)).UnixMilli()})
		}
	}
	for part, at := range q.refuted {
		if wall.Sub(at) > evidenceAge {
			delete(q.refuted, part)
		} else if len(r.Refuted) < maxRecordItems {
			r.Refuted = append(r.Refuted, refutedRecord{Part: part, At: at.UnixMilli()})
		}
	}
	if len(r.Crashes)+len(r.Verdicts)+len(r.Refuted) == 0 {
		return nil, nil
	}
	return cbor.Marshal(r)
}

// stillSuspect returns the suspects of a crash without the parts that were answered since.
func (q *Quarantine) stillSuspect(prompts [][]uint64, c *crash) [][]uint64 {
	var kept [][]uint64
	for _, p := range prompts {
		p = slices.DeleteFunc(slices.Clone(p), func(id uint64) bool { return q.evidence.answered(id).After(c.at) })
		if len(p) > 0 {
			kept = append(kept, p)
		}
	}
	return kept
}

// Apply takes over what an entry tells, in place of what it told before. Of its own
// record, which an earlier process wrote, an entry takes over the verdicts alone. Refresh
// evaluates the evidence.
func (q *Quarantine) Apply(entry string, raw []byte) error {
	var r record
	if len(raw) > 0 {
		if err := cbor.Unmarshal(raw, &r); err != nil {
			return err
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now, wall := q.opts.Now(), q.opts.Wall()
	own := entry == q.opts.Entry
	if own && q.restored {
		return nil
	}
	q.restored = q.restored || own
	if own && len(raw) > 0 {
		q.markChanged() // renews the record until it is empty
	}
	if !own {
		for _, c := range q.evidence.crashes {
			delete(c.reports, entry)
		}
		for _, c := range r.Crashes[:min(len(r.Crashes), maxRecordItems)] {
			q.applyCrash(entry, c, now, wall)
		}
		for _, a := range r.Refuted[:min(len(r.Refuted), maxRecordItems)] {
			q.applyRefuted(a, now, wall)
		}
	}
	for _, v := range r.Verdicts[:min(len(r.Verdicts), maxRecordItems)] {
		q.adopt(entry, v, now, wall)
	}
	q.pending = true
	return nil
}

// applyCrash adds the suspects of another entry. Those that are too old are left out.
func (q *Quarantine) applyCrash(entry string, r crashRecord, now, wall time.Time) {
	happenedAt := time.UnixMilli(r.At)
	age := max(wall.Sub(happenedAt), 0)
	if age > evidenceAge {
		return
	}
	id := crashID{server: r.Server, startedAt: r.StartedAt}
	for i, prompts := range [][][]uint64{r.Begun, r.Waiting} {
		for _, p := range prompts {
			if len(p) > 0 && len(p) <= maxParts {
				q.evidence.add(entry, id, p, i == 0, now.Add(-age), happenedAt)
			}
		}
	}
}

// applyRefuted ends the verdicts on a part that another entry has seen answered. It is
// applied once, since the part may end servers again later.
func (q *Quarantine) applyRefuted(r refutedRecord, now, wall time.Time) {
	at := time.UnixMilli(r.At)
	if known, ok := q.refuted[r.Part]; ok && !at.After(known) || wall.Sub(at) > evidenceAge {
		return
	}
	q.refuted[r.Part] = at
	q.evidence.answers.Add(r.Part, now)
	for _, v := range *q.verdicts.Load() {
		if slices.Contains(v.parts, r.Part) {
			q.drop(v, "answered-elsewhere")
		}
	}
}

// adopt takes over another entry's verdict, unless it is in force, or this entry has just
// received answers to requests with its parts.
func (q *Quarantine) adopt(entry string, r verdictRecord, now, wall time.Time) {
	until := now.Add(min(time.UnixMilli(r.Until).Sub(wall), hold))
	if len(r.Parts) == 0 || len(r.Parts) > maxParts || !until.After(now) {
		return
	}
	refutedAt, refutedBefore := q.refuted[r.Parts[0]]
	refuted := refutedBefore && wall.Sub(refutedAt) <= evidenceAge || !slices.ContainsFunc(r.Parts, func(id uint64) bool { return now.Sub(q.evidence.answered(id)) > recentAnswer })
	verdicts := q.current(now)
	known := slices.ContainsFunc(verdicts, func(v *verdict) bool {
		return containsAll(r.Parts, v.parts)
	})
	if refuted || known {
		return
	}
	v := &verdict{parts: slices.Clone(r.Parts), since: now, until: until, own: entry == q.opts.Entry}
	verdicts = append(verdicts, v)
	q.verdicts.Store(&verdicts)
	q.opts.Log.Info("quarantine", "parts", format(v.parts), "from", entry, "hold", until.Sub(now), "own", v.own)
}
