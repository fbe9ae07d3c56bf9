// Package route creates the routing policy that is set in the configuration.
package route

import (
	"math/rand/v2"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/route/affinity"
	"sequoialead/core/route/p2c"
	"sequoialead/core/route/roundrobin"
)

// New returns the policy of the given name for an entry in the given failure domain;
// the default is affinity. The policies are not safe for concurrent use.
func New(name, domain string, random *rand.Rand) sequoialead.Router {
	leastBusyOfTwo := p2c.New(domain, random)
	switch name {
	case config.RouterRoundRobin:
		return roundrobin.New()
	case config.RouterTwoChoices:
		return leastBusyOfTwo
	}
	return affinity.New(leastBusyOfTwo)
}
