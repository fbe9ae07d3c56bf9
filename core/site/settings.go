package site

import (
	"fmt"
	"strings"

	"sequoialead/common/digest"
)

// EntrySettings returns the settings of an entry in INI format.
func (s *Site) EntrySettings(e Entry) string {
	return formatINI(
		"name", e.Name,
		"region", s.Region,
		"domain", e.Domain,
		"addr", e.Addr,
		"log", s.LogAddr,
		"list", s.ListAddr,
		"fleet", s.FleetKey,
		"operators", s.Operator+":"+digest.Of(s.OperatorKey),
	)
}

// AgentSettings returns the settings of a backend server's agent in INI format.
func (s *Site) AgentSettings(b Backend) string {
	return formatINI(
		"name", b.Name,
		"pool", b.Pool,
		"region", s.Region,
		"domain", b.Domain,
		"addr", b.AgentAddr,
		"backend", b.ServerAddr,
		"fleet", s.FleetKey,
	)
}

// formatINI formats alternating keys and values as lines of an INI file.
func formatINI(pairs ...any) string {
	var b strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, "%v = %v\n", pairs[i], pairs[i+1])
	}
	return b.String()
}
