package testscripts

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"sequoialead/io/caller"
)

// TestCallersPage sends the requests of docs/CALLERS.md and compares the answers with
// those on the page.
func TestCallersPage(t *testing.T) {
	dir := t.TempDir()
	script := "fleet\npage\ncheck\n"
	if err := os.WriteFile(filepath.Join(dir, "page.txtar"), []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile("../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := fleetCommands()
	commands["page"] = func(ts *testscript.TestScript, _ bool, _ []string) {
		c := qt.New(t)
		blocks := regexp.MustCompile("(?s)```request\n(.*?)```\\s+```answer\n(.*?)```").FindAllStringSubmatch(string(raw), -1)
		c.Assert(len(blocks) > 5, qt.IsTrue)
		for _, b := range blocks {
			got, err := runExample(ts.Getenv("e1"), b[1])
			c.Assert(err, qt.IsNil, qt.Commentf("%s", b[1]))
			c.Assert(got, qt.Equals, strings.TrimSpace(b[2]), qt.Commentf("%s", b[1]))
		}
	}
	testscript.Run(t, testscript.Params{Dir: dir, Cmds: commands, Setup: setupFleet(&portAllocator{}, make(chan struct{}, 1))})
}

// runExample sends a request written in the text form of HTTP/1.1 and returns the
// status, outcome and reason of its answer.
func runExample(addr, text string) (string, error) {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(head, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	request, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var answer caller.Answer
	last := ""
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if line := strings.TrimPrefix(scanner.Text(), "data: "); strings.HasPrefix(line, "{") {
			last = line
		}
	}
	if err := json.Unmarshal([]byte(last), &answer); err != nil {
		return "", err
	}
	return strings.TrimSpace(fmt.Sprint(response.StatusCode, " ", answer.Outcome, " ", answer.Reason)), nil
}
