// Package kernel holds the services of a process. Services find each other by
// name, start in the order in which they were added, and stop in reverse.
package kernel

import (
	"context"
	"errors"

	"sequoialead"
)

type part struct {
	name    string
	service sequoialead.Service
}

// Kernel is the set of services of one process.
type Kernel struct {
	parts []part
	// names holds everything that can be found, services or not.
	names map[string]any
	// started is the number of parts that were started.
	started int
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{names: map[string]any{}} }

// Add adds a service under a name.
func (k *Kernel) Add(name string, service sequoialead.Service) {
	k.parts = append(k.parts, part{name: name, service: service})
	k.names[name] = service
}

// Offer lets something without a life of its own be found by a name.
func (k *Kernel) Offer(name string, thing any) { k.names[name] = thing }

// Find returns what was added under a name.
func Find[T any](k *Kernel, name string) (T, error) {
	thing, ok := k.names[name].(T)
	if !ok {
		return thing, sequoialead.ErrSettings.New("service %q is missing or of another type; add it before the services that need it", name)
	}
	return thing, nil
}

// Start starts all services. If one fails, those before it are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, p := range k.parts[k.started:] {
		if err := p.service.Start(ctx); err != nil {
			return errors.Join(err, k.Close())
		}
		k.started++
	}
	return nil
}

// Close stops all services that were started and waits for each.
func (k *Kernel) Close() error {
	var errs []error
	for k.started > 0 {
		k.started--
		errs = append(errs, k.parts[k.started].service.Close())
	}
	return errors.Join(errs...)
}
