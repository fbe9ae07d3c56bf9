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
	"sequoialead/core/services"
	"sequoialead/core/settings"
)

// filePollPeriod is how often the settings file is checked for a change, so that
// a change takes effect without SIGHUP.
const filePollPeriod = 2 * time.Second

const nameReload = "reload"

// reloader applies changes of the settings file to a running gateway: those of the
// settings that gatewaySettings.limits returns. It logs whether other settings have
// changed, which needs a restart.
type reloader struct {
	file string
	// current holds the settings in force.
	current   gatewaySettings
	forwarder *forward.Forwarder
	readiness *readiness
	log       klog.Logger
	signals   chan os.Signal
	modTime   time.Time
	tomb      tomb.Tomb
}

var _ sequoialead.Service = (*reloader)(nil)

// addReloader adds a reloader to a gateway's services.
func addReloader(group *services.Group, file string, current gatewaySettings, log klog.Logger) {
	r := &reloader{file: file, current: current, log: log, signals: make(chan os.Signal, 1)}
	r.forwarder, _ = services.Find[*forward.Forwarder](group, nameForward) // found, because buildGateway has added it
	r.readiness, _ = services.Find[*readiness](group, nameReadiness)       // found, because buildGateway has added it
	group.Add(nameReload, r)
}

// Start starts watching the file and SIGHUP.
func (r *reloader) Start(context.Context) error {
	r.modTime = r.fileModTime()
	signal.Notify(r.signals, syscall.SIGHUP)
	r.tomb.Go(r.run)
	return nil
}

// Close stops watching.
func (r *reloader) Close() error {
	signal.Stop(r.signals)
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

func (r *reloader) run() error {
	ticker := time.NewTicker(filePollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.signals:
			r.modTime = r.fileModTime()
			r.reload("signal")
		case <-ticker.C:
			if now := r.fileModTime(); !now.Equal(r.modTime) {
				r.modTime = now
				r.reload("file")
			}
		case <-r.tomb.Dying():
			return nil
		}
	}
}

func (r *reloader) fileModTime() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		return r.modTime // the file may be about to be replaced; the next check finds it
	}
	return info.ModTime()
}

// reload reads the file and applies its settings. If they are not valid, the
// current ones stay in force.
func (r *reloader) reload(cause string) {
	next, err := readGateway(r.file)
	if err != nil {
		r.log.Error(err, "reload-refused", "cause", cause, "file", r.file)
		return
	}
	applied := r.current
	applied.revoke, applied.ratio, applied.extra, applied.window = next.revoke, next.ratio, next.extra, next.window
	applied.over, applied.slack = next.over, next.slack
	r.forwarder.Configure(applied.limits())
	r.readiness.revoke.Store(int64(applied.revoke))
	r.log.Info("reload", "cause", cause, "changed", applied != r.current, "restart", next != applied)
	r.current = applied
}

// readGateway reads and validates a gateway's settings.
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
