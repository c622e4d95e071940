// Package daemon assembles and runs the entry host of deployments with
// published manifests: logger, log-service client, control loop, router,
// admin API and metrics. All run in one oklog/run group, so that the process
// stops when any of them fails.
package daemon
