package commands

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"sequoialead"
)

// serve starts a process's services, waits until the context ends, and stops them.
// It calls prepareStop first, while the services still run, for a graceful stop.
func serve(ctx context.Context, group sequoialead.Service, log klog.Logger, prepareStop func() error) error {
	if err := group.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	log.Info("started")
	<-ctx.Done()
	log.Info("leaving")
	err := errors.Join(prepareStop(), group.Close())
	log.Info("stopped")
	return err
}
