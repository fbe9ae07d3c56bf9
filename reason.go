package sequoialead

// Reason tells why work was refused or aborted.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonDomain      Reason = "domain"
	ReasonLeaving     Reason = "leaving"
	ReasonDisabled    Reason = "disabled"
	ReasonFull        Reason = "full"
	ReasonShare       Reason = "share"
	ReasonMemory      Reason = "memory"
	ReasonDeadline    Reason = "deadline"
	ReasonCancelled   Reason = "cancelled"
	ReasonIncarnation Reason = "incarnation"
	ReasonPool        Reason = "pool"
	ReasonBackend     Reason = "backend"
	ReasonSize        Reason = "size"
	ReasonNone        Reason = "none"
	ReasonClaim       Reason = "claim"
	ReasonRepeat      Reason = "repeat"
	ReasonKey         Reason = "key"
	ReasonBody        Reason = "body"
	ReasonPipeline    Reason = "pipeline"
	ReasonUnready     Reason = "unready"
	ReasonSilent      Reason = "silent"
	ReasonRoute       Reason = "route"
	ReasonStale       Reason = "stale"
	ReasonCold        Reason = "cold"
	ReasonRetries     Reason = "retries"
	ReasonLate        Reason = "late"
	ReasonGone        Reason = "gone"
	ReasonRoom        Reason = "room"
	ReasonTimeout     Reason = "timeout"
)

// Remedy describes the reason and tells a caller or an operator how to react.
func (r Reason) Remedy() string {
	switch r {
	case ReasonDomain:
		return "the failure domain is evacuated; retry, or restore it with 'sequoialead restore domain NAME'"
	case ReasonLeaving:
		return "the instance is shutting down; retry to reach another"
	case ReasonDisabled:
		return "the backend server is drained; restore it with 'sequoialead restore backend NAME'"
	case ReasonFull:
		return "every backend server of the pool is at capacity; retry after the time given"
	case ReasonShare:
		return "the system is at capacity and the customer's share of it is used up; retry after the time given"
	case ReasonMemory:
		return "a buffer is full; retry, or raise 'memory' in the agent's settings"
	case ReasonDeadline:
		return "the remaining stages cannot finish before the deadline; set a longer deadline or retry when load is lower"
	case ReasonCancelled:
		return "the caller disconnected; send the request again if it is still needed"
	case ReasonIncarnation:
		return "the agent was restarted or replaced; retry"
	case ReasonPool:
		return "the agent serves another pool; check 'pool' in its settings and the pipeline's stages"
	case ReasonBackend:
		return "the backend server failed; see its logs"
	case ReasonSize:
		return "the answer or the request body exceeds the size limit; request less"
	case ReasonNone:
		return "no backend server of the pool is in service; see 'sequoialead status'"
	case ReasonClaim:
		return "the log cannot be read, so the idempotency key cannot be claimed; retry with the same key"
	case ReasonRepeat:
		return "the idempotency key was used before; ask the service whether the work was done before using a new key"
	case ReasonKey:
		return "send a customer's key as 'Authorization: Bearer KEY'"
	case ReasonBody:
		return "send a JSON object as docs/CALLERS.md shows"
	case ReasonPipeline:
		return "the pipeline is not in the configuration; see 'sequoialead show' for those that are"
	case ReasonUnready:
		return "the process has not loaded a configuration yet; retry to reach another"
	case ReasonSilent:
		return "the agent did not answer in time and the work may have run; check its effects before sending it again"
	case ReasonRoute:
		return "no route matches this host and path; see the routes of the configuration"
	case ReasonStale:
		return "the platform's store cannot be read, so the key cannot be verified; retry to reach another entry"
	case ReasonCold:
		return "the available backend servers have just started and accept few requests; retry after the time given"
	case ReasonRetries:
		return "the retry budget of the pool is used up; retry after the time given"
	case ReasonLate, ReasonTimeout:
		return "the request cannot be answered within its time limit; retry when load is lower"
	case ReasonGone:
		return "the result of an earlier stage is no longer available; retry"
	case ReasonRoom:
		return "the backend server has no memory left for results; retry after the time given"
	}
	return "retry later"
}
