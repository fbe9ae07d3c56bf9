package watch

import (
	"time"

	"sequoialead"
)

// keptPeriod is how long the operator's records of an earlier era stay in force that the
// store has lost, until the operator writes them again. A configuration stays in force
// until there is a newer one.
const keptPeriod = time.Minute

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
