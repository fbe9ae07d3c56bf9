// Package configcheck finds faults in a configuration of gateways before an operator
// writes it, and tells how it differs from the version in force.
//
// It answers the load pattern that a wrong version makes: all gateways apply it within
// seconds, and the requests of a route are refused, go elsewhere or run without limits.
package configcheck

import (
	"cmp"
	"slices"

	"sequoialead/core/proxyconfig"
)

// Severity tells what a finding means for the operator.
type Severity string

// The severities.
const (
	// SeverityError is a fault for which gateways ignore the version.
	SeverityError Severity = "error"
	// SeverityWarning is a fault with which gateways apply the version.
	SeverityWarning Severity = "warning"
	// SeverityChange is a difference from the version in force, not a fault.
	SeverityChange Severity = "change"
)

// Finding is a fault of a configuration or a difference between two.
type Finding struct {
	Severity Severity `json:"severity"`
	// Code is one word that stays the same between releases.
	Code string `json:"code"`
	proxyconfig.Place
	// Text says what is wrong and what gateways do.
	Text string `json:"text"`
}

func sortFindings(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Code, b.Code))
	})
	return findings
}
