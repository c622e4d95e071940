// Package manifest defines manifests: the services, data centres and upstreams of
// one deployment. A build pipeline generates them as JSON, and operators publish
// them to the log service.
//
// Parse validates a whole manifest before any of it is used. If it is invalid, the
// previous manifest stays in effect.
package manifest
