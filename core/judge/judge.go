// Package judge decides what the end of one attempt at a stage means for the
// stage.
package judge

import (
	"github.com/joomcode/errorx"

	"sequoialead"
)

// Verdict is what the end of an attempt means.
type Verdict int

// The meanings of an attempt's end.
const (
	// Done means that the answer is whole.
	Done Verdict = iota
	// Unstarted means that the attempt was never started; another may be made.
	Unstarted
	// Repeatable means that the attempt ran or may have, and that running it
	// again does no harm.
	Repeatable
	// Failed means that the attempt ran, failed and may not be repeated.
	Failed
	// Unknown means that nobody can tell whether the attempt ran, and that it
	// may not be repeated.
	Unknown
)

// Attempt judges an attempt from the agent's End, or from the error if there
// is no End.
func Attempt(idempotent bool, end sequoialead.End, err error) Verdict {
	if err != nil {
		return failure(idempotent, err)
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

func failure(idempotent bool, err error) Verdict {
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
