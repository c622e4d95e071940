// Package cli implements the papayatide command line for operators (cobra). It
// publishes manifests with protection against concurrent publishers, drains upstreams,
// shows the status and burn rates of entry hosts, explains requests from the hosts'
// logs, and lists or clears refused requests.
package cli
