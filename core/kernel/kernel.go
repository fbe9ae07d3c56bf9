// Package kernel starts and stops the services of a process and lets its parts
// find each other by name.
package kernel

import (
	"context"
	"errors"

	"sequoialead"
)

type namedService struct {
	name    string
	service sequoialead.Service
}

// Kernel holds the services of one process. They start in the order in which they
// were added and stop in reverse order. It is not safe for concurrent use.
type Kernel struct {
	services []namedService
	// objects holds what Find returns, by name: services and other objects.
	objects map[string]any
	// started is the number of services that run: the first ones of services.
	started int
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{objects: map[string]any{}} }

// Add registers a service, which Start will start, under a name.
func (k *Kernel) Add(name string, service sequoialead.Service) {
	k.services = append(k.services, namedService{name: name, service: service})
	k.objects[name] = service
}

// Provide registers an object that needs no start or stop under a name.
func (k *Kernel) Provide(name string, object any) { k.objects[name] = object }

// Find returns the service or object that was registered under a name. It fails
// if there is none or if it is not a T.
func Find[T any](k *Kernel, name string) (T, error) {
	object, ok := k.objects[name].(T)
	if !ok {
		return object, sequoialead.ErrSettings.New("service %q is not registered or has another type; add it before the services that need it", name)
	}
	return object, nil
}

// Start starts all services that do not run yet. If one fails, it stops those
// that run.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.services[k.started:] {
		if err := s.service.Start(ctx); err != nil {
			return errors.Join(err, k.Close())
		}
		k.started++
	}
	return nil
}

// Close stops the running services one after the other, waiting for each. It
// returns all of their errors.
func (k *Kernel) Close() error {
	var errs []error
	for k.started > 0 {
		k.started--
		errs = append(errs, k.services[k.started].service.Close())
	}
	return errors.Join(errs...)
}
