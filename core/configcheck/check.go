package configcheck

import (
	"fmt"
	"net"
	"time"

	"sequoialead/common/digest"
	"sequoialead/core/proxyconfig"
)

// Check returns the faults of a configuration in the order of its document.
func Check(source *proxyconfig.Source) []Finding {
	c := &checker{source: source, conf: source.Config}
	for _, d := range source.Errors {
		c.add(SeverityError, "invalid", d.Place, "%s; gateways ignore the version", d.Text)
	}
	for _, d := range source.Unknown {
		c.warn("unknown", d.Place, "%q is not a field of this object; gateways ignore it", d.Text)
	}
	for _, d := range source.Repeated {
		c.warn("duplicate", d.Place, "%q stands more than once in this object; gateways mix the values or use the last one", d.Text)
	}
	if c.conf != nil {
		c.checkDocument()
		c.checkRoutes()
		c.checkPools()
		c.checkCustomers()
	}
	return sortFindings(c.findings)
}

type checker struct {
	source   *proxyconfig.Source
	conf     *proxyconfig.Config
	findings []Finding
}

func (c *checker) add(severity Severity, code string, place proxyconfig.Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Code: code, Place: place, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) warn(code string, place proxyconfig.Place, format string, args ...any) {
	c.add(SeverityWarning, code, place, format, args...)
}

func (c *checker) checkDocument() {
	if c.conf.Version == 0 {
		c.add(SeverityError, "version", c.source.At(proxyconfig.FieldVersion), "the version is 0 or missing; gateways that have any version ignore it")
	}
	if len(c.source.Routes) == 0 {
		c.warn("empty", c.source.At(proxyconfig.FieldRoutes), "there are no routes; all requests are answered with 404")
	}
	limits := c.conf.Limits
	if limits.Header <= 0 {
		c.warn("unlimited", c.source.At(proxyconfig.FieldHeader), "there is no limit of the size of headers; gateways apply none")
	}
	if limits.Body <= 0 {
		c.warn("unlimited", c.source.At(proxyconfig.FieldBody), "there is no limit of the size of bodies; gateways apply only that of their memory")
	}
	if limits.Idle <= 0 {
		c.warn("unlimited", c.source.At(proxyconfig.FieldIdle), "there is no idle timeout; gateways never close idle connections of callers")
	}
}

func (c *checker) checkRoutes() {
	names := map[string]bool{}
	for _, r := range c.source.Routes {
		if r.Route.Name != "" && names[r.Route.Name] {
			c.warn("duplicate", r.Place, "another route has the name %q; logs and metrics cannot tell them apart", r.Route.Name)
		}
		names[r.Route.Name] = true
		c.checkMatch(r)
		c.checkTimes(r)
		c.checkTargets(r)
		c.checkStages(r)
	}
}

// requestHost returns a host as a request names it. It differs from the route's for IPv6
// addresses, which routes hold without brackets.
func requestHost(host string) string {
	if proxyconfig.Host(host) == host {
		return host
	}
	return net.JoinHostPort(host, "80")
}

// checkMatch reports a route that no request reaches. The shortest target that a route
// accepts is its prefix, so if that one goes to another route, all do.
func (c *checker) checkMatch(r proxyconfig.SourceRoute) {
	route := r.Route
	switch first := c.conf.Match(requestHost(route.Host), route.Prefix); {
	case route.Host == "":
		c.warn("unmatched", r.Place, "route %q has no host; it matches only requests without one", route.Name)
	case route.Prefix[0] != '/', first == nil:
		c.warn("unmatched", r.At(proxyconfig.FieldPrefix), "no path begins with %q; route %q never matches", route.Prefix, route.Name)
	case first != route:
		c.warn("shadowed", r.Place, "route %q of the same host takes all requests for %q; route %q never matches", first.Name, route.Prefix, route.Name)
	}
}

func (c *checker) checkTimes(r proxyconfig.SourceRoute) {
	route := r.Route
	switch {
	case route.Timeout <= 0:
		c.warn("unlimited", r.At(proxyconfig.FieldTimeout), "route %q has no timeout; callers without a deadline wait for the default one of minutes", route.Name)
	case route.Objective > route.Timeout:
		c.warn("objective", r.At(proxyconfig.FieldObjective), "the objective of route %q is %v, above its timeout of %v; gateways end requests before they are late", route.Name, route.Objective, route.Timeout)
	}
	if route.Objective < 0 {
		c.warn("negative", r.At(proxyconfig.FieldObjective), "the objective of route %q is negative; gateways refuse its requests with stages as late", route.Name)
	}
	if route.MaxAttempts > 1 && !route.Repeatable() {
		c.warn("repeat", r.At(proxyconfig.FieldMaxAttempts), "route %q allows %d attempts, but its requests may not be repeated; gateways repeat only those that certainly did not run", route.Name, route.MaxAttempts)
	}
}

func (c *checker) checkTargets(r proxyconfig.SourceRoute) {
	total := 0
	for i, t := range r.Route.Pools {
		total += t.Weight
		if c.conf.Pools[t.Pool] == nil {
			c.warn("missing", r.Targets[i].At(proxyconfig.FieldPool), "route %q names the service %q, which does not exist; requests for it find no server, or servers without limits", r.Route.Name, t.Pool)
		}
	}
	if total <= 0 {
		c.warn("weights", r.Targets[0].Place, "the weights of route %q add up to %d; all requests go to the first service, %q", r.Route.Name, total, r.Route.Pools[0].Pool)
		return
	}
	for i, t := range r.Route.Pools {
		if t.Weight < 0 {
			c.warn("weights", r.Targets[i].At(proxyconfig.FieldWeight), "the weight of service %q in route %q is negative; the shares of the others are not those of their weights", t.Pool, r.Route.Name)
		}
	}
}

func (c *checker) checkStages(r proxyconfig.SourceRoute) {
	route := r.Route
	// ends holds when each stage ends at the earliest, with one piece each.
	ends := make([]time.Duration, len(route.Stages))
	longest := time.Duration(0)
	for i, s := range route.Stages {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if s.Bytes < 0 {
			c.warn("negative", r.Stages[i].At(proxyconfig.FieldBytes), "the size of a result of stage %d of route %q is negative; gateways count too much room as free", i, route.Name)
		}
		pool := c.conf.Pools[s.Pool]
		switch {
		case pool == nil:
			c.warn("missing", r.Stages[i].At(proxyconfig.FieldPool), "stage %d of route %q names the service %q, which does not exist; requests that need it are refused", i, route.Name, s.Pool)
		case pool.Pieces == nil:
			c.warn("pieceless", r.Stages[i].At(proxyconfig.FieldPool), "stage %d of route %q names the service %q, which makes no pieces; requests that need it are refused", i, route.Name, s.Pool)
		default:
			if s.Bytes > pool.Pieces.RoomBytes {
				c.warn("room", r.Stages[i].At(proxyconfig.FieldBytes), "a result of stage %d of route %q has %d bytes, above the room of %d at a server of %q; requests that need it are refused once a server has refused a piece", i, route.Name, s.Bytes, pool.Pieces.RoomBytes, s.Pool)
			}
			ends[i] += pool.Pieces.CallTime + pool.Pieces.ItemTime
		}
		longest = max(longest, ends[i])
	}
	bound, name, field := route.Objective, "objective", proxyconfig.FieldObjective
	if bound <= 0 {
		bound, name, field = route.Timeout, "timeout", proxyconfig.FieldTimeout
	}
	if bound > 0 && longest > bound {
		c.warn("slow", r.At(field), "the stages of route %q take %v with one piece each, above its %s of %v; requests that need them all are late or refused", route.Name, longest, name, bound)
	}
}

func (c *checker) checkPools() {
	used := map[string]bool{}
	for _, r := range c.source.Routes {
		for _, t := range r.Route.Pools {
			used[t.Pool] = true
		}
		for _, s := range r.Route.Stages {
			used[s.Pool] = true
		}
	}
	seen := map[string]bool{}
	for _, p := range c.source.Pools {
		if seen[p.Pool.Name] {
			c.warn("duplicate", p.Place, "the service %q stands more than once; gateways use the last one", p.Pool.Name)
		}
		if !used[p.Pool.Name] && !seen[p.Pool.Name] {
			c.warn("unused", p.Place, "no route and no stage uses the service %q; its servers get no requests", p.Pool.Name)
		}
		seen[p.Pool.Name] = true
		if p.Pool.MaxConns <= 0 {
			c.warn("unlimited", p.At(proxyconfig.FieldMaxConns), "the service %q has no limit of connections; gateways apply none", p.Pool.Name)
		}
		if pieces := p.Pool.Pieces; pieces != nil && pieces.CallTime < 0 {
			c.warn("negative", p.At(proxyconfig.FieldCallTime), "the time of a call to %q is negative; gateways expect results too early", p.Pool.Name)
		}
		if pieces := p.Pool.Pieces; pieces != nil && pieces.ItemTime < 0 {
			c.warn("negative", p.At(proxyconfig.FieldItemTime), "the time of a piece at %q is negative; gateways expect results too early", p.Pool.Name)
		}
	}
}

func (c *checker) checkCustomers() {
	names, owners := map[string]bool{}, map[string]int{}
	for i, customer := range c.source.Customers {
		name, usable := customer.Customer.Name, 0
		if names[name] {
			c.warn("duplicate", customer.Place, "another customer has the name %q; logs cannot tell them apart", name)
		}
		names[name] = true
		for _, k := range customer.Keys {
			if k.Key == "" {
				c.warn("emptykey", k.Place, "customer %q has an empty key; gateways ignore it", name)
				continue
			}
			usable++
			if other, ok := owners[k.Key]; ok && other != i {
				c.warn("sharedkey", k.Place, "customers %q and %q have the same key (digest %s); gateways take it for that of %q", c.source.Customers[other].Customer.Name, name, shortDigest(k.Key), name)
			}
			owners[k.Key] = i
		}
		if usable == 0 {
			c.warn("keyless", customer.Place, "customer %q has no key; its requests are answered with 401", name)
		}
	}
	if c.conf.Customers != nil && len(c.source.Customers) == 0 {
		c.warn("keyless", c.source.At(proxyconfig.FieldCustomers), "there are no customers; gateways answer all requests with 401, except on public routes")
	}
}

// shortDigest returns the beginning of a key's digest: keys are secrets, and the output of
// the check may be kept or passed on.
func shortDigest(key string) string { return digest.Of(key)[:8] }
