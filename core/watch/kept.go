package watch

import (
	"context"
	"slices"
	"time"

	"sequoialead"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
)

const (
	// keptPeriod is how long the operator's records of an earlier era stay in force that the
	// store has lost, until the operator writes them again. A configuration stays in force
	// until there is a newer one.
	keptPeriod = time.Minute
	// keptTimeout bounds the time in which other entries are asked for records that they
	// keep. Up to keptCandidates are asked, again each keptInterval, until keptAnswers have
	// answered.
	keptTimeout    = 500 * time.Millisecond
	keptCandidates = 8
	keptAnswers    = 4
	keptInterval   = 20 * time.Millisecond
)

// operatorRecord is the last applied record of an operator's key.
type operatorRecord struct {
	offset uint64
	era    sequoialead.Era
	value  []byte
}

// restartOperator is called before the operator's records of another era are applied.
func (w *Watcher) restartOperator(now time.Time) {
	w.keptUntil = now.Add(keptPeriod)
	w.servers.RestartEvacuations()
}

// expireKept ends evacuations and orders of an earlier era that the operator has not written
// again in time.
func (w *Watcher) expireKept(page sequoialead.Page, now time.Time) {
	if w.keptUntil.IsZero() || now.Before(w.keptUntil) {
		return
	}
	w.keptUntil = time.Time{}
	for key, record := range w.operator {
		configuration, domain := w.opts.Decoder.Operator(key)
		if configuration || record.era == page.Era {
			continue
		}
		delete(w.operator, key)
		if len(record.value) == 0 {
			continue
		}
		w.opts.Log.Info("record-expired", "topic", sequoialead.TopicOperator, "key", key, "era", record.era)
		if domain != "" {
			w.servers.Evacuate(domain, false, page.Next)
		} else {
			w.applyOrder(sequoialead.Item{Key: key}, now)
		}
	}
}

// kept returns the operator's records in force that were read in an earlier era and not again
// in this one. A configuration is among them only if it is newer than a version.
func (w *Watcher) kept(version sequoialead.Version) []sequoialead.Item {
	var items []sequoialead.Item
	for key, record := range w.operator {
		configuration, _ := w.opts.Decoder.Operator(key)
		if record.era == w.era || len(record.value) == 0 || configuration && w.config.Version <= version {
			continue
		}
		items = append(items, sequoialead.Item{Key: key, Value: record.value, Offset: record.offset})
	}
	return items
}

// applyKept applies records that another entry has kept, unless this entry has read newer
// ones.
func (w *Watcher) applyKept(items []sequoialead.Item, era sequoialead.Era) {
	if len(items) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if era != w.era || era == 0 {
		return
	}
	now := w.opts.Now()
	for _, item := range items {
		configuration, domain := w.opts.Decoder.Operator(item.Key)
		if known, ok := w.operator[item.Key]; ok && !configuration && (known.era == era || len(known.value) > 0 || item.Offset <= known.offset) {
			continue
		}
		switch {
		case configuration:
			if before := w.config; !w.applyConfig(item) || w.config == before {
				continue
			}
		case domain != "":
			w.servers.Evacuate(domain, true, 0)
		case w.applyOrder(item, now):
		default:
			continue
		}
		w.opts.Log.Info("record-from-entry", "topic", sequoialead.TopicOperator, "key", item.Key)
		w.operator[item.Key] = operatorRecord{offset: item.Offset, era: era - 1, value: item.Value}
		if w.keptUntil.IsZero() {
			w.keptUntil = now.Add(keptPeriod)
		}
	}
}

// version returns the version of the configuration in force; zero if there is none.
func (w *Watcher) version() sequoialead.Version {
	if config := w.Config(); config != nil {
		return config.Version
	}
	return 0
}

// askForKept asks other entries for the operator's records that they know from an earlier era.
// This entry may not have read them before the store lost them.
func (w *Watcher) askForKept() {
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), keptTimeout)
	defer cancel()
	answered := map[string]bool{}
	for ctx.Err() == nil {
		candidates, synced := w.keptCandidates()
		for _, name := range candidates {
			if answered[name] || len(answered) == keptAnswers {
				continue
			}
			w.mu.Lock()
			request := protocol.RecordsRequest{Topic: sequoialead.TopicOperator, From: w.followers[sequoialead.TopicOperator].next, Era: w.era}
			w.mu.Unlock()
			request.Version = w.version()
			if response, ok := w.opts.Relay.Ask(ctx, name, request); ok {
				answered[name] = true
				w.noteEra(response.Era)
				w.applyKept(response.Kept, response.Era)
			}
		}
		if synced && len(answered) >= min(len(candidates), keptAnswers) {
			break
		}
		if w.pause(keptInterval) {
			return
		}
	}
	w.opts.OnChange()
}

// keptCandidates returns the entries to ask, and whether all entries are known. They are those
// that follow this one by name, so that each is asked by few.
func (w *Watcher) keptCandidates() (names []string, synced bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := w.members.All(w.opts.Now())
	self := slices.IndexFunc(entries, func(m membership.Member) bool { return m.Name == w.opts.Self.Name })
	for i := 1; i < len(entries) && len(names) < keptCandidates; i++ {
		names = append(names, entries[(self+i)%len(entries)].Name)
	}
	return names, w.members.Synced()
}
