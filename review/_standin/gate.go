package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// gate is one process of the role in deploy/system.toml that serves requesters.
type gate struct {
	p      *played
	name   string
	zone   string
	ip     string
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// bounds are those of the installation whiskerlane-nz.
var bounds = map[string]string{
	"bounds.grace_s": "8", "bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.revoke_ms": "5000",
	"bounds.stable_window_ms": "3000", "bounds.budget_ratio": "0.2", "bounds.budget_extra": "56", "bounds.budget_window_s": "10",
	"bounds.cold_over": "1.5", "bounds.cold_slack": "5", "limits.memory_mb": "284", "limits.cpu_share": "0.304",
	"port_range.0": "7740",
}

// Ports are the same on all machines.
const (
	portFront = "8625"
	portReady = "8621"
)

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// section matches a part of the template that is rendered only if a value is present.
var section = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/[a-z0-9_.]+\}\}`)

// startGates starts one gateway for each zone named, each with a loopback address of its own.
func (p *played) startGates(zones ...string) error {
	a, b := 64+rand.IntN(128), rand.IntN(250)
	for i, zone := range zones {
		g := &gate{p: p, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", a, b, i+1)}
		if err := g.start(); err != nil {
			return err
		}
		p.gates = append(p.gates, g)
	}
	for _, g := range p.gates {
		if err := waitFor(15*time.Second, g.ready); err != nil {
			return fmt.Errorf("%s is not ready: %w", g.name, err)
		}
	}
	return nil
}

// start renders the template of the settings and starts the process.
func (g *gate) start() error {
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return err
	}
	values := map[string]string{
		"node": g.name, "zone": g.zone, "ip": g.ip, "listen.front": g.ip + ":" + portFront, "listen.ready": g.ip + ":" + portReady, "platform.addr": g.p.store.addr,
	}
	for k, v := range bounds {
		values[k] = v
	}
	present := section.ReplaceAllStringFunc(string(template), func(m string) string {
		parts := section.FindStringSubmatch(m)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	text := placeholder.ReplaceAllStringFunc(present, func(m string) string {
		return values[strings.Trim(m, "{}")]
	})
	path := filepath.Join(g.p.tmp, g.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if g.log, err = os.OpenFile(filepath.Join(g.p.tmp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	g.cmd = exec.Command("target/sequoialead", "gateway", "--config", path)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	return nil
}

// front returns the address for requesters.
func (g *gate) front() string { return g.ip + ":" + portFront }

var prober = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks the gateway as the platform does.
func (g *gate) ready() bool {
	r, err := prober.Get("http://" + g.ip + ":" + portReady + "/sequoialead/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (g *gate) signal(s syscall.Signal) error { return g.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (g *gate) running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// stopGates ends the processes that were started. LOGS names a folder to keep their logs in.
func (p *played) stopGates() {
	for _, g := range p.gates {
		if g.running() {
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
		_ = g.log.Close()
		if dir := os.Getenv("LOGS"); dir != "" {
			raw, _ := os.ReadFile(g.log.Name())
			_ = os.WriteFile(filepath.Join(dir, g.name+".log"), raw, 0o600)
		}
	}
}

var errTimeout = errors.New("timed out")

func waitFor(limit time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errTimeout
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// listen returns a listener on a free port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
