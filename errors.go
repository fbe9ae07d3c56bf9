package sequoialead

import "github.com/joomcode/errorx"

// Error types. Each message tells how to fix the error.
var (
	errs = errorx.NewNamespace("sequoialead")

	// ErrSettings reports invalid settings of a process.
	ErrSettings = errs.NewType("settings")
	// ErrInvalid reports an invalid request or patch.
	ErrInvalid = errs.NewType("invalid")
	// ErrConflict reports a patch made against a version that is no longer current.
	ErrConflict = errs.NewType("conflict")
	// ErrDenied reports a missing or wrong key.
	ErrDenied = errs.NewType("denied")
	// ErrUnsent reports a call that certainly did not reach the other side.
	ErrUnsent = errs.NewType("unsent")
	// ErrFenced reports a call that was refused without being run, because it is
	// addressed to an earlier process of the backend server.
	ErrFenced = errs.NewType("fenced")
	// ErrFailed reports a call that the other side ran and that failed.
	ErrFailed = errs.NewType("failed")
	// ErrLost reports a call that was sent but whose result was not received, so
	// it may or may not have run.
	ErrLost = errs.NewType("lost")
	// ErrBroken reports an ErrLost call whose connection was closed or reset by the other
	// side, as a process does that ends.
	ErrBroken = ErrLost.NewSubtype("broken")
	// ErrPlatform reports a platform service that is down, slow or has lost records.
	ErrPlatform = errs.NewType("platform")
	// ErrGone reports a read of records that the platform no longer retains.
	ErrGone = errs.NewType("gone")
	// ErrProtocol reports a message that violates the protocol between processes.
	ErrProtocol = errs.NewType("protocol")
	// ErrClosed reports the use of something that has been closed.
	ErrClosed = errs.NewType("closed")
)
