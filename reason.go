package sequoialead

// Reason tells why work was refused or aborted.
type Reason string

// Reasons for refusals and failures. Remedy describes each.
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
	ReasonQuarantine  Reason = "quarantine"
	ReasonHeld        Reason = "held"
)

// Remedy describes the reason and tells a caller or an operator how to react.
func (r Reason) Remedy() string {
	switch r {
	case ReasonDomain:
		return "the failure domain is out; retry, or restore it with 'sequoialead restore domain NAME'"
	case ReasonLeaving:
		return "the instance is leaving; retry to reach another"
	case ReasonDisabled:
		return "the backend server is drained; restore it with 'sequoialead restore backend NAME'"
	case ReasonFull:
		return "every backend server of the pool is full; retry after the time given"
	case ReasonShare:
		return "the customer's share is used up while the system is full; retry after the time given"
	case ReasonMemory:
		return "a buffer is full; retry, or raise 'memory' in the agent's settings"
	case ReasonDeadline:
		return "the time left cannot cover the stages ahead; ask for a longer deadline or retry when load is lower"
	case ReasonCancelled:
		return "the caller went away; send the request again if it is still wanted"
	case ReasonIncarnation:
		return "the agent was replaced; retry"
	case ReasonPool:
		return "the agent serves another pool; check 'pool' in its settings and the pipeline's stages"
	case ReasonBackend:
		return "the backend server failed; see its own logs"
	case ReasonSize:
		return "the answer or body is larger than allowed; ask for less"
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
		return "use a pipeline of the configuration; see 'sequoialead show'"
	case ReasonUnready:
		return "the process has no configuration yet; retry to reach another"
	case ReasonSilent:
		return "the agent did not answer in time; check the work's effect before sending it again"
	case ReasonRoute:
		return "no route has this host and path; see the routes of the configuration"
	case ReasonStale:
		return "the platform's store cannot be read, so the key cannot be trusted; retry to reach another entry"
	case ReasonCold:
		return "the backend servers that are left have just started; retry after the time given"
	case ReasonRetries:
		return "the retry budget of the pool is used up; retry after the time given"
	case ReasonLate, ReasonTimeout:
		return "the time given for the request was used up; retry when load is lower"
	case ReasonGone:
		return "the result of an earlier stage is no longer held; retry"
	case ReasonQuarantine:
		return "prompts with these parts have crashed backend servers; change the prompt, or retry after the time given"
	case ReasonHeld:
		return "the backend servers that are left want no requests for a while; retry after the time given"
	case ReasonRoom:
		return "the backend server has no room for results; retry after the time given"
	}
	return "retry later"
}
