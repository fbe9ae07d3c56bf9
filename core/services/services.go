// Package services starts and stops the services of a process and lets them look
// each other up by name.
package services

import (
	"context"
	"errors"

	"sequoialead"
)

type namedService struct {
	name    string
	service sequoialead.Service
}

// Group holds the services of one process. They start in the order in which they
// were added and stop in reverse order. It is not safe for concurrent use.
type Group struct {
	services []namedService
	// objects holds the registered services and other objects by name, for Find.
	objects map[string]any
	// started is the number of running services, which are the first elements of
	// services.
	started int
}

// New returns an empty group.
func New() *Group { return &Group{objects: map[string]any{}} }

// Add registers a service, which Start will start, under a name.
func (g *Group) Add(name string, service sequoialead.Service) {
	g.services = append(g.services, namedService{name: name, service: service})
	g.objects[name] = service
}

// Provide registers an object that needs no start or stop under a name.
func (g *Group) Provide(name string, object any) { g.objects[name] = object }

// Find returns the service or object that was registered under a name. It fails
// if there is none or if it is not a T.
func Find[T any](g *Group, name string) (T, error) {
	object, ok := g.objects[name].(T)
	if !ok {
		return object, sequoialead.ErrSettings.New("service %q is not registered or has another type; add it before the services that need it", name)
	}
	return object, nil
}

// Start starts all services that do not run yet. If one fails, it stops those
// that run.
func (g *Group) Start(ctx context.Context) error {
	for _, s := range g.services[g.started:] {
		if err := s.service.Start(ctx); err != nil {
			return errors.Join(err, g.Close())
		}
		g.started++
	}
	return nil
}

// Close stops the running services one after the other, waiting for each. It
// returns all of their errors.
func (g *Group) Close() error {
	var errs []error
	for g.started > 0 {
		g.started--
		errs = append(errs, g.services[g.started].service.Close())
	}
	return errors.Join(errs...)
}
