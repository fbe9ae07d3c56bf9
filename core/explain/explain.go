// Package explain tells in words what became of one request, from the lines that
// processes logged about it. Besides the account it exports its steps.
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

// Step is one decision about the request.
type Step struct {
	// Time is by the clock of the process that logged it.
	Time time.Time `json:"time"`
	// At is the time since the request arrived, where the line has it.
	At       string            `json:"at,omitempty"`
	Instance string            `json:"instance"`
	Event    string            `json:"event"`
	Text     string            `json:"text"`
	Fields   map[string]string `json:"fields"`
}

// mostLine bounds a line of a log.
const mostLine = 1 << 20

// Account collects the lines about one request.
type Account struct {
	id    string
	steps []Step
}

// New returns an empty account of a request.
func New(id string) *Account { return &Account{id: id} }

// ID returns the request's ID.
func (a *Account) ID() string { return a.id }

// Read takes the lines of one log. Lines that are not of key=value pairs are
// passed over, since a log may hold what other programs wrote.
func (a *Account) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, mostLine)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), "id="+a.id) {
			continue
		}
		fields := parse(scanner.Text())
		if fields["id"] != a.id || fields["event"] == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			continue
		}
		a.steps = append(a.steps, Step{
			Time: at, At: round(fields["at"]), Instance: fields["instance"], Event: fields["event"], Text: text(fields), Fields: fields,
		})
	}
	if err := scanner.Err(); err != nil {
		return sequoialead.ErrInvalid.Wrap(err, "a log cannot be read")
	}
	return nil
}

// Steps returns what was logged, in the order in which it was decided.
func (a *Account) Steps() []Step {
	slices.SortStableFunc(a.steps, func(x, y Step) int {
		if x.Instance == y.Instance {
			dx, errX := time.ParseDuration(x.At)
			dy, errY := time.ParseDuration(y.At)
			if errX == nil && errY == nil {
				return int(dx - dy)
			}
		}
		return x.Time.Compare(y.Time)
	})
	return a.steps
}

// parse reads the key=value pairs of a line.
func parse(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		line = strings.TrimLeft(line, " ")
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			return fields
		}
		if i := strings.LastIndexByte(key, ' '); i >= 0 {
			key = key[i+1:] // text before the pairs
		}
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			value, _ := strconv.Unquote(quoted) // QuotedPrefix has checked it
			fields[key] = value
			line = rest[len(quoted):]
			continue
		}
		value, after, _ := strings.Cut(rest, " ")
		fields[key] = value
		line = after
	}
	return fields
}

// round shortens a time for people.
func round(text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return text
	}
	return d.Round(100 * time.Microsecond).String()
}

// text says a line in words.
func text(f map[string]string) string {
	switch f["event"] {
	case "arrive":
		if f["pipeline"] != "" {
			return fmt.Sprintf("arrives for pipeline %s, customer %q; the caller waits %s; configuration %s", f["pipeline"], f["customer"], f["wait"], f["version"])
		}
		return fmt.Sprintf("arrives on route %s for pool %s, customer %q, urgency %s, pieces %s; the caller waits %s; configuration %s was confirmed %s before",
			f["route"], f["pool"], f["customer"], f["urgency"], f["pieces"], f["wait"], f["version"], round(f["version-age"]))
	case "estimate":
		if f["service"] != "" {
			return fmt.Sprintf("its stages would take %s and wait %s, and %s are left", round(f["service"]), round(f["waits"]), round(f["left"]))
		}
		return fmt.Sprintf("its stages would take %s behind what waits, and the objective is %s", round(f["stages"]), f["aim"])
	case "refuse":
		return fmt.Sprintf("is refused with %s (%s); it has not run, and may come back after %s", f["status"], f["reason"], f["retry"])
	case "stage":
		if f["state"] != "" {
			return fmt.Sprintf("stage %s at pool %s ends %s after %s tries (reason %q)", f["stage"], f["pool"], f["state"], f["tries"], f["reason"])
		}
		if f["reason"] != "" {
			return fmt.Sprintf("stage %s (%s pieces at pool %s) fails after %s: %s", f["stage"], f["pieces"], f["pool"], round(f["took"]), f["reason"])
		}
		return fmt.Sprintf("stage %s (%s pieces at pool %s) is done after %s", f["stage"], f["pieces"], f["pool"], round(f["took"]))
	case "piece-failed":
		return fmt.Sprintf("a piece of stage %s fails at %s: %s, after %s tries", f["stage"], f["server"], f["reason"], f["tries"])
	case "leader-lost":
		return fmt.Sprintf("entry %s, which leads pool %s, is lost; the pieces are made by this entry", f["leader"], f["pool"])
	case "wait":
		return fmt.Sprintf("waits for a place at pool %s, at most %s: %s", f["pool"], round(f["until"]), f["reason"])
	case "send":
		if f["stage"] != "" {
			return fmt.Sprintf("stage %s is sent to agent %s in %s (attempt %s) with %s left", f["stage"], f["server"], f["domain"], f["try"], round(f["left"]))
		}
		return fmt.Sprintf("is sent to %s in %s (try %s) with %s left and %s prompt tokens before it", f["server"], f["domain"], f["try"], round(f["left"]), f["pending"])
	case "send-refused":
		if f["reason"] != "" {
			return fmt.Sprintf("agent %s does not start it: %s", f["server"], f["reason"])
		}
		return fmt.Sprintf("%s does not run it (status %s)", f["server"], f["status"])
	case "send-lost":
		if f["unsent"] == "true" {
			return fmt.Sprintf("%s cannot be reached, so nothing was sent", f["server"])
		}
		if f["ending"] != "" {
			return fmt.Sprintf("the call at agent %s ends %s (%s); it may have run", f["server"], f["ending"], f["reason"])
		}
		return fmt.Sprintf("the answer of %s is lost; it may have run: %s", f["server"], f["err"])
	case "answer-odd":
		return fmt.Sprintf("the answer of %s lacks its stamp and counts as lost", f["server"])
	case "answer-failed":
		return fmt.Sprintf("%s ran it and failed it with status %s", f["server"], f["status"])
	case "answer-cut", "stream-cut":
		return fmt.Sprintf("%s broke off its answer (after event %q): %s", f["server"], f["after"], f["err"])
	case "end":
		if f["status"] == "" {
			return fmt.Sprintf("ends: %s (reason %q) %s", f["outcome"], f["reason"], f["detail"])
		}
		return fmt.Sprintf("ends: %s (status %s, reason %q, sent %s times), first byte after %s", f["outcome"], f["status"], f["reason"], f["sends"], round(f["first"]))
	}
	return f["event"]
}
