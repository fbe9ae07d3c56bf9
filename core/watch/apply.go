package watch

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sequoialead"
	"sequoialead/core/membership"
	"sequoialead/core/serverset"
)

// applyOperator applies the operator's records. After a complete read, domains
// without an evacuation record are no longer evacuated, unless their record is kept.
func (w *Watcher) applyOperator(page sequoialead.Page, complete bool, now time.Time) {
	keys := map[string]bool{}
	for _, item := range page.Items {
		keys[item.Key] = true
		if applied, ok := w.operator[item.Key]; ok && applied.era == page.Era && item.Offset <= applied.offset {
			continue
		}
		configuration, domain := w.opts.Decoder.Operator(item.Key)
		switch {
		case configuration:
			if !w.applyConfig(item) {
				continue
			}
		case domain != "":
			w.servers.Evacuate(domain, len(item.Value) > 0, item.Offset)
			w.opts.Log.Info("evacuate", "domain", domain, "out", len(item.Value) > 0, "offset", item.Offset)
		case w.applyOrder(item, now):
		default:
			w.opts.Log.Info("record-skipped", "topic", sequoialead.TopicOperator, "key", item.Key)
			continue
		}
		w.operator[item.Key] = operatorRecord{offset: item.Offset, era: page.Era, value: item.Value}
	}
	if complete {
		w.dropMissing(keys, page)
	}
	w.expireKept(page, now)
}

// dropMissing ends what the operator's records of this era asked for that are not among the
// keys of a complete read.
func (w *Watcher) dropMissing(keys map[string]bool, page sequoialead.Page) {
	for key, record := range w.operator {
		if keys[key] || record.era == page.Era {
			continue
		}
		keys[key] = true
		w.opts.Log.Info("record-kept", "topic", sequoialead.TopicOperator, "key", key, "era", record.era, "until", w.keptUntil)
	}
	w.dropOrders(keys)
	for domain := range w.servers.Evacuated() {
		if !w.hasDomainKey(domain, keys) {
			w.servers.Evacuate(domain, false, page.Next)
			w.opts.Log.Info("evacuate", "domain", domain, "out", false, "offset", page.Next)
		}
	}
	for key := range w.operator {
		if configuration, _ := w.opts.Decoder.Operator(key); !keys[key] && !configuration {
			delete(w.operator, key)
		}
	}
}

// hasDomainKey reports whether one of the keys is that of the domain's
// evacuation record.
func (w *Watcher) hasDomainKey(domain string, keys map[string]bool) bool {
	for key := range keys {
		if _, d := w.opts.Decoder.Operator(key); d == domain {
			return true
		}
	}
	return false
}

// applyConfig puts a version in force if it is newer than the current one, and reports
// whether it is in force. Records that can't be decoded are logged and skipped.
func (w *Watcher) applyConfig(item sequoialead.Item) bool {
	if len(item.Value) == 0 {
		return false
	}
	next, err := w.opts.Decoder.Config(item.Value)
	if err != nil {
		w.opts.Log.Error(err, "record-skipped", "topic", sequoialead.TopicOperator, "key", item.Key, "offset", item.Offset)
		return false
	}
	if w.config != nil && next.Version <= w.config.Version {
		w.opts.Log.Info("version-older", "version", next.Version, "current", w.config.Version)
		return next.Version == w.config.Version
	}
	w.config = next
	w.opts.Log.Info("version", "version", next.Version, "offset", item.Offset, "keys", len(next.Customers), "required", next.RequiresKey())
	return true
}

// applyServers applies records of backend servers. After a complete read, backend
// servers without a record have been deleted.
func (w *Watcher) applyServers(page sequoialead.Page, complete bool, now time.Time) {
	records := make([]serverset.Record, 0, len(page.Items))
	for _, item := range page.Items {
		rec := serverset.Record{ID: item.Key, Offset: item.Offset}
		if len(item.Value) > 0 {
			server, err := w.opts.Decoder.Server(item.Key, item.Value)
			if err != nil {
				w.opts.Log.V(1).Info("record-skipped", "topic", sequoialead.TopicServers, "key", item.Key, "offset", item.Offset, "err", err)
				rec.Unreadable = true
			} else {
				rec.Server = &server
			}
		}
		records = append(records, rec)
	}
	if complete {
		for id, change := range w.servers.Replace(records, now) {
			w.logServerChange(id, change, page.Next, nil)
		}
		return
	}
	for _, rec := range records {
		w.logServerChange(rec.ID, w.servers.Apply(rec, now), rec.Offset, rec.Server)
	}
}

// logServerChange logs a change in the state of a backend server, if there is
// one.
func (w *Watcher) logServerChange(id string, change serverset.Change, offset uint64, server *sequoialead.Server) {
	switch {
	case change == serverset.ChangeNone:
	case server == nil:
		w.opts.Log.Info("server", "server", id, "change", change, "offset", offset)
	default:
		w.opts.Log.Info("server", "server", id, "change", change, "offset", offset, "pool", server.Pool, "domain", server.Domain, "cold", server.ColdLeft)
	}
}

// applyEntries applies records of entries. A record without a value removes its
// entry. Records that can't be decoded are logged and skipped.
func (w *Watcher) applyEntries(page sequoialead.Page, _ bool, now time.Time) {
	for _, item := range page.Items {
		if len(item.Value) == 0 {
			w.members.Remove(item.Key)
			continue
		}
		var m membership.Member
		if err := cbor.Unmarshal(item.Value, &m); err != nil || m.Name != item.Key {
			w.opts.Log.Info("record-skipped", "topic", sequoialead.TopicEntries, "key", item.Key, "offset", item.Offset, "err", err)
			continue
		}
		w.members.Update(m, now)
	}
	w.members.SetSynced()
}

// announce rewrites this entry's record every entriesInterval, and at once after the store
// came back from an older copy, so that the other entries keep counting it.
func (w *Watcher) announce() error {
	record, err := cbor.Marshal(w.opts.Self)
	if err != nil {
		return err
	}
	for {
		era, err := w.put(sequoialead.TopicEntries, record)
		if err != nil && w.tomb.Alive() {
			w.opts.Log.V(1).Info("announce-failed", "err", err)
		}
		select {
		case <-time.After(entriesInterval):
		case <-w.storeEraAbove(era):
		case <-w.tomb.Dying():
			return nil
		}
	}
}
