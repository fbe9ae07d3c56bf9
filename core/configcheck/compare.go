package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sequoialead/core/proxyconfig"
)

// Compare returns what changes if the configuration next replaces the one in force, which
// is empty if there is none. It also reports a version that gateways ignore because of
// its number. Next must be without errors.
func Compare(inForce *proxyconfig.Config, next *proxyconfig.Source) []Finding {
	c := &comparer{checker: checker{source: next, conf: next.Config}, old: inForce}
	if c.conf.Version != 0 && c.conf.Version <= c.old.Version {
		c.add(SeverityError, "version", next.At(proxyconfig.FieldVersion), "version %d is not above version %d, which is in force; gateways ignore it", c.conf.Version, c.old.Version)
	}
	c.compareKeys()
	c.compareRoutes()
	c.comparePools()
	c.compareLimits()
	return c.findings
}

type comparer struct {
	checker
	old *proxyconfig.Config
}

func (c *comparer) change(code string, place proxyconfig.Place, format string, args ...any) {
	c.add(SeverityChange, code, place, format, args...)
}

// number reports a change of a number. If zeroIsNone, a number not above 0 stands for no limit.
func (c *comparer) number(place proxyconfig.Place, what string, from, to float64, zeroIsNone bool) {
	if zeroIsNone {
		from, to = max(from, 0), max(to, 0)
	}
	if from == to {
		return
	}
	code := "shrinks"
	if to > from && !(zeroIsNone && from == 0) || zeroIsNone && to == 0 {
		code = "grows"
	}
	text := func(n float64) string {
		if zeroIsNone && n == 0 {
			return "no limit"
		}
		return fmt.Sprintf("%.10g", n)
	}
	c.change(code, place, "%s %s from %s to %s", what, code, text(from), text(to))
}

func (c *comparer) compareKeys() {
	place := c.source.At(proxyconfig.FieldCustomers)
	switch {
	case c.old.RequiresKey() && !c.conf.RequiresKey():
		c.change("open", place, "requests need no key any more")
	case !c.old.RequiresKey() && c.conf.RequiresKey():
		c.change("closed", place, "requests need a key, except on public routes")
	}
	places := map[string]proxyconfig.Place{}
	for _, customer := range c.source.Customers {
		places[customer.Customer.Name] = customer.Place
	}
	lost, got := map[string][]string{}, map[string][]string{}
	for key, customer := range c.old.Customers {
		if now := c.conf.Customers[key]; now == nil || now.Name != customer.Name {
			lost[customer.Name] = append(lost[customer.Name], shortDigest(key))
		}
	}
	priorities := map[string]string{}
	for key, customer := range c.conf.Customers {
		before := c.old.Customers[key]
		if before == nil || before.Name != customer.Name {
			got[customer.Name] = append(got[customer.Name], shortDigest(key))
		} else if before.Priority != customer.Priority {
			priorities[customer.Name] = fmt.Sprintf("%s to %s", priorityText(before.Priority), priorityText(customer.Priority))
		}
	}
	remaining := map[string]bool{}
	for _, customer := range c.conf.Customers {
		remaining[customer.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(lost)) {
		suffix := ""
		if !remaining[name] {
			suffix = " and has none left"
		}
		c.change("loses", cmp.Or(places[name], place), "customer %q loses %s%s", name, keysText(lost[name]), suffix)
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		c.change("gets", cmp.Or(places[name], place), "customer %q gets %s", name, keysText(got[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(priorities)) {
		c.change("priority", cmp.Or(places[name], place), "the urgency of customer %q changes from %s", name, priorities[name])
	}
}

func keysText(digests []string) string {
	slices.Sort(digests)
	noun := "keys"
	if len(digests) == 1 {
		noun = "key"
	}
	return fmt.Sprintf("%d %s (digest %s)", len(digests), noun, strings.Join(digests, ", "))
}

func priorityText(priority int) string {
	if priority < 0 {
		return "that of the route"
	}
	return fmt.Sprint(priority)
}

// routeKey identifies a route by the requests that it serves.
type routeKey struct{ host, prefix string }

func (k routeKey) String() string { return k.host + k.prefix }

// effectiveRoutes returns the routes that requests reach: of several with the same host
// and prefix, the first.
func effectiveRoutes(conf *proxyconfig.Config) map[routeKey]*proxyconfig.Route {
	routes := map[routeKey]*proxyconfig.Route{}
	for _, list := range conf.Routes {
		for _, r := range list {
			if key := (routeKey{r.Host, r.Prefix}); routes[key] == nil {
				routes[key] = r
			}
		}
	}
	return routes
}

func (c *comparer) compareRoutes() {
	before, after := effectiveRoutes(c.old), effectiveRoutes(c.conf)
	for _, r := range c.source.Routes {
		key := routeKey{r.Route.Host, r.Route.Prefix}
		switch old := before[key]; {
		case after[key] != r.Route: // no request reaches it
		case old == nil:
			c.change("added", r.Place, "route %q is added for %s, to %s", r.Route.Name, key, sharesText(r.Route))
		default:
			c.compareRoute(old, r)
		}
	}
	var removed []*proxyconfig.Route
	for key, r := range before {
		if after[key] == nil {
			removed = append(removed, r)
		}
	}
	slices.SortFunc(removed, func(a, b *proxyconfig.Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	for _, r := range removed {
		rest := "they are answered with 404"
		if next := c.conf.Match(requestHost(r.Host), r.Prefix); next != nil {
			rest = fmt.Sprintf("route %q takes them", next.Name)
		}
		c.change("removed", c.source.At(proxyconfig.FieldRoutes), "route %q is removed; requests for %s remain: %s", r.Name, routeKey{r.Host, r.Prefix}, rest)
	}
}

func (c *comparer) compareRoute(old *proxyconfig.Route, r proxyconfig.SourceRoute) {
	next := r.Route
	if old.Name != next.Name {
		c.change("renamed", r.Place, "route %q of %s has the name %q", old.Name, routeKey{next.Host, next.Prefix}, next.Name)
	}
	c.compareTargets(old, r)
	c.compareDuration(r.At(proxyconfig.FieldTimeout), "timeout", next.Name, old.Timeout, next.Timeout)
	c.compareDuration(r.At(proxyconfig.FieldObjective), "objective", next.Name, old.Objective, next.Objective)
	c.compareStages(old, r)
	for _, v := range []struct {
		place    proxyconfig.Place
		what     string
		from, to any
	}{
		{r.Place, "kind", old.Kind, next.Kind},
		{r.Place, "urgency", old.Priority, next.Priority},
		{r.At(proxyconfig.FieldMaxAttempts), "number of attempts", old.MaxAttempts, next.MaxAttempts},
		{r.Place, "access without a key", old.Public, next.Public},
		{r.Place, "resumption of streams", old.Resumable, next.Resumable},
	} {
		if v.from != v.to {
			c.change("changed", v.place, "the %s of route %q changes from %v to %v", v.what, next.Name, v.from, v.to)
		}
	}
}

func (c *comparer) compareDuration(place proxyconfig.Place, what, route string, from, to time.Duration) {
	if from != to {
		c.change(what, place, "the %s of route %q changes from %v to %v", what, route, from, to)
	}
}

// shares returns the share of each pool that gets requests of a route.
func shares(r *proxyconfig.Route) map[string]float64 {
	total := 0
	weights := map[string]int{}
	for _, t := range r.Pools {
		total += t.Weight
		weights[t.Pool] += t.Weight
	}
	if total <= 0 {
		return map[string]float64{r.Pools[0].Pool: 1}
	}
	result := map[string]float64{}
	for name, weight := range weights {
		if weight > 0 {
			result[name] = float64(weight) / float64(total)
		}
	}
	return result
}

func sharesText(r *proxyconfig.Route) string {
	all := shares(r)
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		part := name
		if len(all) > 1 {
			part += fmt.Sprintf(" %.3g%%", 100*all[name])
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

func (c *comparer) compareTargets(old *proxyconfig.Route, r proxyconfig.SourceRoute) {
	before, after := shares(old), shares(r.Route)
	if maps.Equal(before, after) {
		return
	}
	code, verb := "moved", "is moved"
	if len(after) > 1 {
		code, verb = "split", "is split"
	}
	c.change(code, r.Targets[0].Place, "route %q %s from %s to %s", r.Route.Name, verb, sharesText(old), sharesText(r.Route))
}

func (c *comparer) compareStages(old *proxyconfig.Route, r proxyconfig.SourceRoute) {
	next := r.Route
	same := slices.EqualFunc(old.Stages, next.Stages, func(a, b proxyconfig.Stage) bool {
		return a.Pool == b.Pool && slices.Equal(a.After, b.After)
	})
	if !same {
		c.change("stages", r.Place, "the stages of route %q change from %s to %s", next.Name, stagesText(old), stagesText(next))
		return
	}
	for i, s := range next.Stages {
		c.number(r.Stages[i].At(proxyconfig.FieldBytes), fmt.Sprintf("a result of stage %d (%s) of route %q, in bytes,", i, s.Pool, next.Name), float64(old.Stages[i].Bytes), float64(s.Bytes), false)
	}
}

func stagesText(r *proxyconfig.Route) string {
	if len(r.Stages) == 0 {
		return "none"
	}
	var parts []string
	for _, s := range r.Stages {
		part := s.Pool
		if len(s.After) > 0 {
			part += fmt.Sprintf(" after %v", s.After)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

func (c *comparer) comparePools() {
	seen := map[string]bool{}
	for _, p := range slices.Backward(c.source.Pools) { // of several with one name, the last counts
		name := p.Pool.Name
		if seen[name] {
			continue
		}
		seen[name] = true
		old := c.old.Pools[name]
		if old == nil {
			c.change("added", p.Place, "the service %q is added", name)
			continue
		}
		what := func(field string) string { return fmt.Sprintf("%s of service %q", field, name) }
		c.number(p.At(proxyconfig.FieldMaxConns), what("the limit of connections"), float64(old.MaxConns), float64(p.Pool.MaxConns), true)
		c.number(p.Place, what("the rate of a cold server"), old.ColdRate, p.Pool.ColdRate, true)
		c.number(p.Place, what("the number of slots"), float64(old.Slots), float64(p.Pool.Slots), false)
		c.number(p.Place, what("the memory in tokens"), float64(old.MemoryTokens), float64(p.Pool.MemoryTokens), false)
		if (old.Pieces == nil) != (p.Pool.Pieces == nil) {
			c.change("changed", p.Place, "making pieces by service %q changes from %v to %v", name, old.Pieces != nil, p.Pool.Pieces != nil)
		}
		if old.Pieces == nil || p.Pool.Pieces == nil {
			continue
		}
		from, to := old.Pieces, p.Pool.Pieces
		c.number(p.Place, what("the number of pieces of a call"), float64(from.MaxBatch), float64(to.MaxBatch), false)
		c.number(p.At(proxyconfig.FieldCallTime), what("the time of a call in ms"), milliseconds(from.CallTime), milliseconds(to.CallTime), false)
		c.number(p.At(proxyconfig.FieldItemTime), what("the time of a piece in ms"), milliseconds(from.ItemTime), milliseconds(to.ItemTime), false)
		c.number(p.At(proxyconfig.FieldRoom), what("the room in bytes"), float64(from.RoomBytes), float64(to.RoomBytes), false)
	}
	for _, name := range slices.Sorted(maps.Keys(c.old.Pools)) {
		if !seen[name] {
			c.change("removed", c.source.Place, "the service %q is removed", name)
		}
	}
}

func (c *comparer) compareLimits() {
	from, to := c.old.Limits, c.conf.Limits
	c.number(c.source.At(proxyconfig.FieldHeader), "the limit of headers in bytes", float64(from.Header), float64(to.Header), true)
	c.number(c.source.At(proxyconfig.FieldBody), "the limit of bodies in bytes", float64(from.Body), float64(to.Body), true)
	c.number(c.source.At(proxyconfig.FieldIdle), "the idle timeout in ms", milliseconds(from.Idle), milliseconds(to.Idle), true)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
