// Package config decodes a configuration document into validated, typed values.
package config

import (
	"time"

	"sequoialead"
)

// Config is a complete configuration. It is immutable once decoded.
type Config struct {
	// Pipelines and Pools are keyed by name.
	Pipelines map[string]Pipeline
	Pools     map[string]Pool
	// Customers is keyed by the SHA-256 of the customer's key, in lower-case
	// hexadecimal.
	Customers map[string]Customer
	// EvacuatedDomains is the set of failure domains that operators have taken out of
	// service.
	EvacuatedDomains map[string]bool
	// DrainedBackends is the set of backend servers, by the name of their agent, that
	// operators have taken out of service.
	DrainedBackends map[string]bool
	Policy          Policy
}

// Pipeline is a sequence of stages that share one deadline.
type Pipeline struct {
	Name string
	// Deadline is the maximum duration of a request; above zero, at most
	// MaxDeadline.
	Deadline time.Duration
	// Stages holds 1 to MaxStages stages, in execution order.
	Stages []Stage
}

// Idempotent reports whether all stages of the pipeline are idempotent.
func (p Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// Timeout returns the timeout of a request: the one that its caller requested,
// but at most the pipeline's deadline. If requested is zero, the caller set no
// timeout and the pipeline's deadline applies.
func (p Pipeline) Timeout(requested time.Duration) time.Duration {
	if requested <= 0 || requested > p.Deadline {
		return p.Deadline
	}
	return requested
}

// Stage is one step of a pipeline.
type Stage struct {
	Name string
	// Pool is the name of the pool that executes the stage.
	Pool string
	Op   sequoialead.Op
	// Path is the URL path that OpInvoke calls on a plain service. It starts with
	// a slash and is unused by other operations.
	Path string
	// Idempotent allows a retry when the outcome of an attempt is unknown.
	Idempotent bool
	// MaxTokens is the maximum number of tokens that a generation may produce.
	MaxTokens int
	// MaxResults is the maximum number of documents that a search or rerank returns.
	MaxResults int
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Name string
	// WarmLimit is the number of calls that a warm backend server runs concurrently,
	// from 1 to MaxLimit.
	WarmLimit int
	// ColdLimit is the number of calls that a backend server can run concurrently
	// right after its start; at most WarmLimit.
	ColdLimit int
	// QueueLimit is the number of calls that an agent admits beyond those that its
	// backend server may run at the moment. With Policy.FairShare, a call of an entry
	// that uses less than its quota is admitted even if the queue is full.
	QueueLimit int
}

// Customer identifies a sender of requests.
type Customer struct {
	Name string
	// Weight is the customer's weight in dividing capacity when the system is
	// overloaded, from 1 to MaxWeight.
	Weight int
}

// Policy selects how load is handled.
type Policy struct {
	// Router is one of RouterTwoChoices, RouterRoundRobin and RouterAffinity.
	Router string
	// RejectLate refuses a request on arrival if it cannot complete within its
	// deadline.
	RejectLate bool
	// FairShare divides the capacity of an overloaded system among customers by
	// their weights.
	FairShare bool
	// WarmUp starts backend servers at the limit Pool.ColdLimit and raises it step by
	// step. Without it they get Pool.WarmLimit from the start.
	WarmUp bool
	// RetryPercent is the number of retries allowed per 100 successful calls.
	RetryPercent int
	// EjectOutliers temporarily removes failing backend servers from routing.
	EjectOutliers bool
}

// Upper bounds of values in a configuration. MaxLimit applies to the settings of
// a pool and to the number of documents that a stage returns.
const (
	MaxStages   = 16
	MaxDeadline = 10 * time.Minute
	MaxLimit    = 4096
	MaxTokens   = 65536
	MaxWeight   = 1000000
)
