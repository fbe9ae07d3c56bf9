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

// process is one process of a fleet.
type process struct {
	args []string
	cmd  *exec.Cmd
	done chan error
	log  *os.File
}

// run starts one process.
func (f *fleet) run(name string) error {
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
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(p.cmd, p.done)
	return nil
}

// command runs the binary once and returns what it printed.
func (f *fleet) command(args ...string) ([]byte, error) {
	return exec.Command(f.binary, args...).CombinedOutput()
}

// end sends a process a signal and waits until it is gone.
func (f *fleet) end(name string, signal syscall.Signal) error {
	p := f.procs[name]
	if p == nil || p.cmd == nil {
		return fmt.Errorf("no process %q runs", name)
	}
	if strings.HasPrefix(name, "backend:") {
		if s, err := f.stats(strings.TrimPrefix(name, "backend:")); err == nil {
			f.gone = append(f.gone, s)
		}
	}
	if err := p.cmd.Process.Signal(signal); err != nil {
		return err
	}
	select {
	case err := <-p.done:
		p.cmd = nil
		if signal == syscall.SIGTERM {
			return err
		}
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not stop within %s", name, stopTimeout)
	}
}

func (f *fleet) signal(name string, signal syscall.Signal) error {
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
			<-p.done
		}
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	for _, p := range f.proxies {
		_ = p.Close()
	}
}
