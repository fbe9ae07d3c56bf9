// Package explain reconstructs the timeline of one request from the lines that
// processes logged about it, and describes each step and the cause of the outcome
// in words.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoialead"
)

// Step is one log event about the request.
type Step struct {
	// Time is when the event was logged, by the clock of the process that logged it.
	Time time.Time `json:"time"`
	// At is the duration since the request arrived at the process, such as "1.2ms".
	// It is empty if the line has none.
	At       string `json:"at,omitempty"`
	Instance string `json:"instance"`
	Event    string `json:"event"`
	// Text describes the event in words.
	Text string `json:"text"`
	// Fields holds all key=value pairs of the line.
	Fields map[string]string `json:"fields"`
}

// maxLineBytes is the maximum length of a log line. Longer lines are an error.
const maxLineBytes = 1 << 20

// Timeline collects the log events about one request. It is not safe for
// concurrent use.
type Timeline struct {
	id    string
	steps []Step
}

// New returns an empty timeline of the request with the given ID.
func New(id string) *Timeline { return &Timeline{id: id} }

// ID returns the request's ID.
func (t *Timeline) ID() string { return t.id }

// ReadLog adds the events about the request from one log. Lines that do not consist
// of key=value pairs are skipped, since a log may contain output of other
// programs.
func (t *Timeline) ReadLog(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), "id="+t.id) {
			continue
		}
		if fields := parse(scanner.Text()); fields["id"] == t.id {
			t.add(fields)
		}
	}
	if err := scanner.Err(); err != nil {
		return sequoialead.ErrInvalid.Wrap(err, "a log cannot be read to its end")
	}
	return nil
}

// add adds the event of a line with the given fields, if there is one.
func (t *Timeline) add(fields map[string]string) {
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil || fields["event"] == "" {
		return
	}
	t.steps = append(t.steps, Step{
		Time: at, At: roundDuration(fields["at"]), Instance: fields["instance"], Event: fields["event"], Text: describe(fields), Fields: fields,
	})
}

// Steps returns the events in order: those of the same process by the time since
// the arrival, others by the clocks of their processes.
func (t *Timeline) Steps() []Step {
	slices.SortStableFunc(t.steps, func(x, y Step) int {
		if x.Instance == y.Instance {
			dx, errX := time.ParseDuration(x.At)
			dy, errY := time.ParseDuration(y.At)
			if errX == nil && errY == nil {
				return int(dx - dy)
			}
		}
		return x.Time.Compare(y.Time)
	})
	return t.steps
}

// parse returns the key=value pairs of a line. Text before a key is ignored.
func parse(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		line = strings.TrimLeft(line, " ")
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			return fields
		}
		if i := strings.LastIndexByte(key, ' '); i >= 0 {
			key = key[i+1:]
		}
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			value, _ := strconv.Unquote(quoted) // never fails: QuotedPrefix has validated the syntax
			fields[key] = value
			line = rest[len(quoted):]
			continue
		}
		value, remainder, _ := strings.Cut(rest, " ")
		fields[key] = value
		line = remainder
	}
	return fields
}

// roundDuration rounds a duration to 0.1 ms for display. Other text is returned
// unchanged.
func roundDuration(text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return text
	}
	return d.Round(100 * time.Microsecond).String()
}

// describe describes the event of a line with the given fields in words. Where the text
// has no subject, the subject is the request.
func describe(f map[string]string) string {
	switch f["event"] {
	case "arrive":
		if f["pipeline"] != "" {
			return fmt.Sprintf("arrives for pipeline %s from customer %q; the caller waits up to %s; configuration version %s", f["pipeline"], f["customer"], f["wait"], f["version"])
		}
		return fmt.Sprintf("arrives on route %s for pool %s from customer %q, urgency %s, pieces %s; the caller waits up to %s; configuration version %s, last confirmed %s before",
			f["route"], f["pool"], f["customer"], f["urgency"], f["pieces"], f["wait"], f["version"], roundDuration(f["version-age"]))
	case "estimate":
		if f["service"] != "" {
			return fmt.Sprintf("its stages would take %s after %s in queues, and %s are left until the deadline", roundDuration(f["service"]), roundDuration(f["waits"]), roundDuration(f["left"]))
		}
		return fmt.Sprintf("its stages would take %s behind the work that is already queued, and the objective is %s", roundDuration(f["stages"]), f["aim"])
	case "hopeless":
		return fmt.Sprintf("would take another %s until its first event, and %s are left until the deadline; its orders are withdrawn", roundDuration(f["remaining"]), roundDuration(f["left"]))
	case "quarantined":
		return fmt.Sprintf("its prompt has parts (of %s) that have crashed backend servers; such requests are held back for another %s", f["parts"], roundDuration(f["left"]))
	case "refuse":
		return fmt.Sprintf("is refused with status %s (%s); it has not run and may be retried after %s", f["status"], f["reason"], f["retry"])
	case "stage":
		if f["state"] != "" {
			return fmt.Sprintf("stage %s at pool %s ends with outcome %s after %s attempts (reason %q)", f["stage"], f["pool"], f["state"], f["tries"], f["reason"])
		}
		if f["reason"] != "" {
			return fmt.Sprintf("stage %s (%s pieces, pool %s) fails after %s: %s", f["stage"], f["pieces"], f["pool"], roundDuration(f["took"]), f["reason"])
		}
		return fmt.Sprintf("stage %s (%s pieces, pool %s) is done after %s", f["stage"], f["pieces"], f["pool"], roundDuration(f["took"]))
	case "piece-failed":
		return fmt.Sprintf("a piece of stage %s fails at %s: %s, after %s attempts", f["stage"], f["server"], f["reason"], f["tries"])
	case "leader-lost":
		return fmt.Sprintf("entry %s, the leader of pool %s, cannot be reached or is stopping; the pieces go to its successor or are sent by this entry", f["leader"], f["pool"])
	case "wait":
		return fmt.Sprintf("waits for capacity in pool %s for at most %s: %s", f["pool"], roundDuration(f["until"]), f["reason"])
	case "send":
		if f["stage"] != "" {
			return fmt.Sprintf("stage %s is sent to agent %s in domain %s (attempt %s) with %s left", f["stage"], f["server"], f["domain"], f["try"], roundDuration(f["left"]))
		}
		return fmt.Sprintf("is sent to %s in domain %s (attempt %s) with %s left, behind %s prompt tokens of other requests", f["server"], f["domain"], f["try"], roundDuration(f["left"]), f["pending"])
	case "first-token":
		return fmt.Sprintf("%s starts to answer after %s; %s was predicted", f["server"], roundDuration(f["took"]), roundDuration(f["predicted"]))
	case "send-refused":
		if f["reason"] != "" {
			return fmt.Sprintf("agent %s does not start it: %s", f["server"], f["reason"])
		}
		return fmt.Sprintf("%s refuses it without running it (status %s)", f["server"], f["status"])
	case "send-lost":
		if f["unsent"] == "true" {
			return fmt.Sprintf("%s cannot be reached; nothing was sent", f["server"])
		}
		if f["ending"] != "" {
			return fmt.Sprintf("the call at agent %s ends with %s (%s); it may have run", f["server"], f["ending"], f["reason"])
		}
		return fmt.Sprintf("the answer of %s is lost; it may have run: %s", f["server"], f["err"])
	case "answer-odd":
		return fmt.Sprintf("the answer of %s is not acceptable (no stamp header, a content encoding, or an error status after part of the answer was passed on) and is treated as lost", f["server"])
	case "answer-failed":
		return fmt.Sprintf("%s ran it and answered with status %s", f["server"], f["status"])
	case "answer-cut", "stream-cut":
		return fmt.Sprintf("the answer of %s was cut off (after event %q): %s", f["server"], f["after"], f["err"])
	case "end":
		if f["status"] == "" {
			return fmt.Sprintf("ends: %s (reason %q) %s", f["outcome"], f["reason"], f["detail"])
		}
		return fmt.Sprintf("ends: %s (status %s, reason %q, sent %s times), first byte after %s", f["outcome"], f["status"], f["reason"], f["sends"], roundDuration(f["first"]))
	}
	return f["event"]
}
