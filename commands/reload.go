package commands

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/forward"
	"sequoialead/core/kernel"
	"sequoialead/core/settings"
)

// lookPeriod is how often the settings file is looked at for a change without a
// signal.
const lookPeriod = 2 * time.Second

const nameReload = "reload"

// reload takes changed settings while a gateway runs. What cannot change without
// a restart is named in the log.
type reload struct {
	file      string
	current   gatewaySettings
	forwarder *forward.Forwarder
	ready     *readiness
	log       klog.Logger
	signals   chan os.Signal
	changed   time.Time
	tomb      tomb.Tomb
}

var _ sequoialead.Service = (*reload)(nil)

// addReload adds the service to a gateway's kernel.
func addReload(k *kernel.Kernel, file string, current gatewaySettings, log klog.Logger) {
	r := &reload{file: file, current: current, log: log, signals: make(chan os.Signal, 1)}
	r.forwarder, _ = kernel.Find[*forward.Forwarder](k, nameForward) // added by buildGateway
	r.ready, _ = kernel.Find[*readiness](k, nameReadiness)           // added by buildGateway
	k.Add(nameReload, r)
}

// Start begins to look at the file.
func (r *reload) Start(context.Context) error {
	r.changed = r.modified()
	signal.Notify(r.signals, syscall.SIGHUP)
	r.tomb.Go(r.run)
	return nil
}

// Close stops and waits.
func (r *reload) Close() error {
	signal.Stop(r.signals)
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

func (r *reload) run() error {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.signals:
			r.changed = r.modified()
			r.take("signal")
		case <-ticker.C:
			if now := r.modified(); !now.Equal(r.changed) {
				r.changed = now
				r.take("file")
			}
		case <-r.tomb.Dying():
			return nil
		}
	}
}

func (r *reload) modified() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		return r.changed // a file that is being replaced is read next time
	}
	return info.ModTime()
}

// take reads the file and applies it, or keeps the settings in force.
func (r *reload) take(cause string) {
	next, err := readGateway(r.file)
	if err != nil {
		r.log.Error(err, "reload-refused", "cause", cause, "file", r.file)
		return
	}
	applied := r.current
	applied.revoke, applied.ratio, applied.extra, applied.window = next.revoke, next.ratio, next.extra, next.window
	applied.over, applied.slack = next.over, next.slack
	r.forwarder.Configure(applied.bounds())
	r.ready.revoke.Store(int64(applied.revoke))
	r.log.Info("reload", "cause", cause, "changed", applied != r.current, "restart", next != applied)
	r.current = applied
}

// readGateway reads and checks a gateway's settings.
func readGateway(file string) (gatewaySettings, error) {
	var s gatewaySettings
	flags := newFlags("sequoialead gateway", Deps{Stderr: io.Discard})
	s.bind(flags)
	flags.String("config", "", "the INI file with these settings")
	parser := settings.New(flags, gatewayKeys()...)
	if err := ff.Parse(flags, []string{"--config", file}, parser.Options()...); err != nil {
		return s, err
	}
	return s, parser.CheckRequired()
}
