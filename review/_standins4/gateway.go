package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Gateway is one process of the project's gateway.
type Gateway struct {
	name, dir          string
	addr, ready, peers string
	metrics            string
	config             string
	cmd                *exec.Cmd
	exited             chan struct{}
	err                error
}

// loopback returns a loopback address of this process's own, so that several cases may run at
// the same time without taking each other's ports.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
}

func freeAddr() (string, error) {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startGateway starts a gateway by the command of the deploy file, with the settings that
// deploy/gateway.ini renders for a small deployment.
func startGateway(bin, dir, name, zone, store string) (*Gateway, error) {
	g := &Gateway{name: name, dir: dir, exited: make(chan struct{})}
	for _, to := range []*string{&g.addr, &g.ready, &g.peers, &g.metrics} {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		*to = addr
	}
	g.config = filepath.Join(dir, name+".ini")
	text := fmt.Sprintf(`name = %s
domain = %s
addr = %s
ready = %s
peers = %s
metrics = %s
store = %s
memory = 284
cpu = 0.304
files = 4100
grace = 8s
apply = 2000ms
drain = 2000ms
revoke = 5000ms
spread = 3000ms
ratio = 0.2
extra = 56
window = 10s
over = 1.5
slack = 5
outlier = true
balance = true
expose =
exposeslack =
rollback = ms
`, name, zone, g.addr, g.ready, g.peers, g.metrics, store)
	if err := os.WriteFile(g.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.cmd = exec.Command(bin, "gateway", "--config", g.config)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C", "SEQUOIALEAD_BOOT=" + g.config}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		g.err = g.cmd.Wait()
		close(g.exited)
	}()
	return g, nil
}

func (g *Gateway) alive() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// isReady asks as the platform does.
func (g *Gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/sequoialead/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *Gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

func (g *Gateway) kill() {
	if g.cmd != nil && g.cmd.Process != nil && g.alive() {
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
}
