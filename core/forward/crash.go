package forward

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/pool"
)

// soundAfter is the time from the first byte of an answer after which its prompt counts
// as sound, if the answer has not ended by then.
const soundAfter = time.Second

// refuseQuarantined refuses a request whose prompt crashes backend servers. It returns nil
// if the request may proceed.
func (f *Forwarder) refuseQuarantined(j *job) *Result {
	until := f.opts.Quarantine.Check(j.request.Prompt.Parts)
	if until.IsZero() {
		return nil
	}
	left := until.Sub(f.opts.Now())
	j.trail.Add("quarantined", "parts", j.request.Prompt.PartIDs(), "left", left)
	result := j.refusal(sequoialead.ReasonQuarantine)
	if result.Status == http.StatusServiceUnavailable {
		result.RetryAfter = left
	}
	return &result
}

// recordCrash records that a backend server may have ended before it sent a byte of the
// answer's body: it has closed or reset the connection. Begun is set if the answer's head had come.
func (f *Forwarder) recordCrash(j *job, place *pool.Place, begun bool, err error) {
	if errorx.IsOfType(err, sequoialead.ErrBroken) {
		f.opts.Quarantine.RecordCrash(place.Server, j.request.Prompt.Parts, begun)
	}
}

// recordAnswer records that a prompt was answered.
func (f *Forwarder) recordAnswer(j *job, firstByteAt time.Time) {
	f.opts.Quarantine.RecordAnswer(j.request.Prompt.Parts, firstByteAt)
}
