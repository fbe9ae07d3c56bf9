package watch

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sequoialead"
	"sequoialead/core/membership"
	"sequoialead/core/serverset"
)

// applyOperator applies the operator's records. After a complete read, domains
// without an evacuation record are no longer evacuated.
func (w *Watcher) applyOperator(page sequoialead.Page, complete bool, now time.Time) {
	keys := map[string]bool{}
	for _, item := range page.Items {
		keys[item.Key] = true
		if applied, ok := w.offsets[item.Key]; ok && item.Offset <= applied {
			continue
		}
		w.offsets[item.Key] = item.Offset
		configuration, domain := w.opts.Decoder.Operator(item.Key)
		switch {
		case configuration:
			w.applyConfig(item)
		case domain != "":
			w.servers.Evacuate(domain, len(item.Value) > 0, item.Offset)
			w.opts.Log.Info("evacuate", "domain", domain, "out", len(item.Value) > 0, "offset", item.Offset)
		case w.applyOrder(item, now):
		default:
			w.opts.Log.Info("record-skipped", "topic", sequoialead.TopicOperator, "key", item.Key)
		}
	}
	if !complete {
		return
	}
	w.dropOrders(keys)
	for domain := range w.servers.Evacuated() {
		if !w.hasDomainKey(domain, keys) {
			w.servers.Evacuate(domain, false, page.Next)
			w.opts.Log.Info("evacuate", "domain", domain, "out", false, "offset", page.Next)
		}
	}
}

// restartOperator forgets the offsets of the operator's records: the store gives them out again.
func (w *Watcher) restartOperator(time.Time) {
	clear(w.offsets)
	w.servers.RestartEvacuations()
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

// applyConfig puts a version in force if it is newer than the current one.
// Records that can't be decoded are logged and skipped.
func (w *Watcher) applyConfig(item sequoialead.Item) {
	if len(item.Value) == 0 {
		return
	}
	next, err := w.opts.Decoder.Config(item.Value)
	if err != nil {
		w.opts.Log.Error(err, "record-skipped", "topic", sequoialead.TopicOperator, "key", item.Key, "offset", item.Offset)
		return
	}
	if w.config != nil && next.Version <= w.config.Version {
		w.opts.Log.Info("version-older", "version", next.Version, "current", w.config.Version)
		return
	}
	w.config = next
	w.opts.Log.Info("version", "version", next.Version, "offset", item.Offset, "keys", len(next.Customers), "required", next.RequiresKey())
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

// announce rewrites this entry's record every entriesInterval, so that the other
// entries keep counting it.
func (w *Watcher) announce() error {
	record, err := cbor.Marshal(w.opts.Self)
	if err != nil {
		return err
	}
	for {
		if err := w.put(sequoialead.TopicEntries, record); err != nil && w.tomb.Alive() {
			w.opts.Log.V(1).Info("announce-failed", "err", err)
		}
		if w.pause(entriesInterval) {
			return nil
		}
	}
}
