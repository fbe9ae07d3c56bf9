// Package config decodes a configuration into typed and checked values. Its
// exported types are the parts of one configuration and are decoded together.
package config

import (
	"time"

	"sequoialead"
)

// Config is a whole configuration. It is never changed after decoding.
type Config struct {
	Pipelines map[string]Pipeline
	Pools     map[string]Pool
	// Customers are found by the SHA-256 of their key in hexadecimal.
	Customers map[string]Customer
	// Out holds the failure domains that operators have taken out.
	Out map[string]bool
	// Drained holds the backend servers that operators have taken out.
	Drained map[string]bool
	Policy  Policy
}

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	Name string
	// Deadline is the longest time that a request may take.
	Deadline time.Duration
	// Stages has at least one and at most MaxStages members.
	Stages []Stage
}

// Idempotent reports whether all stages are.
func (p Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// Within returns the time that a request may take which asks for the given
// one, or for none if that is 0.
func (p Pipeline) Within(asked time.Duration) time.Duration {
	if asked <= 0 || asked > p.Deadline {
		return p.Deadline
	}
	return asked
}

// Stage is one step of a pipeline.
type Stage struct {
	Name string
	Pool string
	Op   sequoialead.Op
	// Path is the path below a plain service's root.
	Path string
	// Idempotent stages may be sent again when their end is not known.
	Idempotent bool
	// Tokens is the most tokens that a generation may produce.
	Tokens int
	// Top is the most documents that a search or rerank returns.
	Top int
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Name string
	// Full is the number of calls that a warm backend server runs at once.
	Full int
	// Cold is the number of calls that a cold one bears; at most Full.
	Cold int
	// Queue is the number of admitted calls that an agent holds back.
	Queue int
}

// Customer is one that sends requests.
type Customer struct {
	Name string
	// Share is the customer's weight when the system is full; at least 1.
	Share int
}

// Policy selects how load is handled.
type Policy struct {
	// Router is the name of a routing policy.
	Router string
	// Early refuses requests that cannot end in time.
	Early bool
	// Fair shares a full system between customers by their weight.
	Fair bool
	// Warm lets backend servers start at their cold limit.
	Warm bool
	// Retries is the number of retries allowed per 100 calls.
	Retries int
	// Eject takes failing backend servers out of routing for a while.
	Eject bool
}

// Limits of a configuration.
const (
	MaxStages   = 16
	MaxDeadline = 10 * time.Minute
	MaxLimit    = 4096
	MaxTokens   = 65536
	MaxShare    = 1000000
)
