// Command standins3 plays review/6 and review/9: it starts gateways as
// processes of their own, with stand-ins for the platform's store, the backend servers and the
// callers, and checks one rule of the users' pages.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE FOLDER")
		os.Exit(statusNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, folder string) (status int) {
	cases := map[string]func(s *site, trouble bool) (broken bool){
		"outage": playOutage,
		"power":  playPower,
	}
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return statusNotRun
	}
	trouble := true
	if text := os.Getenv("TROUBLE"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			fmt.Fprintln(os.Stderr, "TROUBLE is not a number")
			return statusNotRun
		}
		trouble = n != 0
	}
	s, err := newSite(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.record("ended by a signal")
		s.close()
		os.Exit(statusNotRun)
	}()
	defer func() {
		if r := recover(); r != nil {
			failed, ok := r.(setupError)
			if !ok {
				panic(r)
			}
			s.record("could not run: %s", failed)
			status = statusNotRun
		}
	}()
	s.record("case %s, disruption: %t", name, trouble)
	if run(s, trouble) {
		s.record("verdict: the rule was broken")
		return statusBroken
	}
	s.record("verdict: the rule held")
	return statusHeld
}
