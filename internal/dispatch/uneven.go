package dispatch

import (
	"github.com/papayatide/papayatide/internal/desired"
)

// competingClass returns the request's class if its service is competing, else the zero value.
func (d *Dispatcher) competingClass(req *request) desired.Class {
	if state := d.views.Load().Desired; state != nil && state.Competing(req.service.Name) {
		return req.route.ClassFor(req.service.Name)
	}
	return desired.Class{}
}
