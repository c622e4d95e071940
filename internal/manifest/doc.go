// Package manifest holds the operators' manifests: the services, data
// centres and upstreams of one deployment, as the build pipeline generates
// them and operators publish them to the log service.
//
// A manifest is JSON (encoding/json); Parse checks it whole before anything
// uses it, so a manifest that fails validation changes nothing in force.
package manifest
