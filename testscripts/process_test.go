package testscripts

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

type process struct {
	args   []string
	cmd    *exec.Cmd
	exited chan error
	log    *os.File
}

// startProcess starts a process, also one that was stopped. Its output is appended
// to the same log file.
func (f *fleet) startProcess(name string) error {
	p := f.procs[name]
	if p == nil {
		return fmt.Errorf("no process %q", name)
	}
	if p.log == nil {
		log, err := os.Create(filepath.Join(f.dir, strings.ReplaceAll(name, ":", "-")+".log"))
		if err != nil {
			return err
		}
		p.log = log
	}
	p.cmd = exec.Command(f.binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(p.cmd, p.exited)
	return nil
}

// execBinary runs the sequoialead command line and returns its output.
func (f *fleet) execBinary(args ...string) ([]byte, error) {
	return exec.Command(f.binary, args...).CombinedOutput()
}

// stopProcess sends a signal to a process and waits until it exits. The records of a
// backend server are read first, as they are lost with the process.
func (f *fleet) stopProcess(name string, signal syscall.Signal) error {
	p := f.procs[name]
	if p == nil || p.cmd == nil {
		return fmt.Errorf("no process %q runs", name)
	}
	if strings.HasPrefix(name, "backend:") {
		if s, err := f.backendStats(strings.TrimPrefix(name, "backend:")); err == nil {
			f.stoppedStats = append(f.stoppedStats, s)
		}
	}
	if err := p.cmd.Process.Signal(signal); err != nil {
		return err
	}
	select {
	case err := <-p.exited:
		p.cmd = nil
		if signal == syscall.SIGTERM {
			return err
		}
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not stop within %s", name, stopTimeout)
	}
}

func (f *fleet) signalProcess(name string, signal syscall.Signal) error {
	p := f.procs[name]
	if p == nil || p.cmd == nil {
		return fmt.Errorf("no process %q runs", name)
	}
	return p.cmd.Process.Signal(signal)
}

func (f *fleet) close() {
	for _, p := range f.procs {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	for _, p := range f.proxies {
		_ = p.Close()
	}
}
