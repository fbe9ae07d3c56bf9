package commands

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"sequoialead"
)

// serve starts a process's services, runs until the context ends, and stops
// them. The leave function makes the stop graceful.
func serve(ctx context.Context, k sequoialead.Service, log klog.Logger, leave func() error) error {
	if err := k.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	log.Info("started")
	<-ctx.Done()
	log.Info("leaving")
	err := errors.Join(leave(), k.Close())
	log.Info("stopped")
	return err
}
