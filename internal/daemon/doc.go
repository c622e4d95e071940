// Package daemon wires the entry-host daemon together: settings, logger,
// log-service client, control loop, router, admin API and metrics, run as
// one oklog/run group so that any part ending stops the whole process.
package daemon
