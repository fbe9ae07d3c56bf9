// Package route finds the routing policy that a configuration names.
package route

import (
	"math/rand/v2"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/route/affinity"
	"sequoialead/core/route/round"
	"sequoialead/core/route/two"
)

// New returns the policy of the given name for an entry in a failure domain.
// The policies are not safe for concurrent use.
func New(name, domain string, random *rand.Rand) sequoialead.Router {
	choice := two.New(domain, random)
	switch name {
	case config.RouterRound:
		return round.New()
	case config.RouterTwo:
		return choice
	}
	return affinity.New(choice)
}
