// Package outcome classifies the result of an attempt at a stage: whether the stage is
// done, failed, or may be attempted again.
package outcome

import (
	"github.com/joomcode/errorx"

	"sequoialead"
)

// Verdict is the class of an attempt's result.
type Verdict int

// The possible verdicts.
const (
	// Done means that the answer is complete.
	Done Verdict = iota
	// Unstarted means that the attempt was never run; another one may be made.
	Unstarted
	// Repeatable means that the attempt ran or may have run, but that the stage is
	// idempotent, so that another one may be made.
	Repeatable
	// Failed means that the attempt ran and failed, and must not be repeated.
	Failed
	// Unknown means that it is not known whether the attempt ran, and that it must
	// not be repeated.
	Unknown
)

// Classify classifies an attempt by the agent's End, or by the error if there is no
// End.
func Classify(idempotent bool, end sequoialead.End, err error) Verdict {
	if err != nil {
		return classifyError(idempotent, err)
	}
	switch end.Ending {
	case sequoialead.EndDone:
		return Done
	case sequoialead.EndRefused:
		return Unstarted
	case sequoialead.EndFailed:
		if idempotent {
			return Repeatable
		}
		return Failed
	}
	if idempotent {
		return Repeatable
	}
	return Unknown
}

func classifyError(idempotent bool, err error) Verdict {
	switch {
	case errorx.IsOfType(err, sequoialead.ErrUnsent):
		return Unstarted
	case idempotent:
		return Repeatable
	case errorx.IsOfType(err, sequoialead.ErrFailed):
		return Failed
	}
	return Unknown
}
