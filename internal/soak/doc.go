// Package soak tests entry hosts under random faults. It runs them as separate
// processes and injects faults from outside: loopback proxies delay or reset
// connections or silently drop their data in one or both directions, signals stop,
// pause and kill the processes, upstreams crash and restart, and the log service
// fails. Faults are drawn from a seed; they follow one another and overlap.
//
// With Options.HardLoad, classes of different priority compete for a service, upstreams work
// at different and varying speeds and some report their load, and further callers pipeline,
// read slowly, disconnect in the middle of a pipeline and upload bodies.
//
// With Options.PathCuts, hosts lose their paths to all upstreams during all other faults, and after
// them for a while without other faults. The hosts then run on a network with such faults (package
// host, internal/standin/pathfault).
//
// Callers send requests throughout. During the run and after it the package checks
// their responses and the requests that upstreams received against the guarantees of
// papayatide. Each breach of a guarantee is reported as a violation. Most violations
// are marked with a word:
//
//	RECOVER   after the last fault, a key is not served again in time or too few
//	          requests are served, with Options.HardLoad also of any single route; or hosts that are
//	          cut off from all upstreams serve much less than the others
//	OWNER     two upstreams hold a key at once
//	TWICE     a non-idempotent request ran more than once
//	REFUSED   a refused non-idempotent request ran
//	MIXED     a response has the ID of another request, or has status 200 although its
//	          body is incomplete or that of another request, the upstream received
//	          another request body, it is unsigned or the request did not run
//	DENIED    a response has a status that no host or upstream should send
//	LOST      the graceful shutdown of a host interrupted a request that it had
//	          forwarded
//	TIMEOUT   too many responses come long after the request timeout
//	UNASKED   an upstream ran a request that no caller sent, or a pipelined request
//	          although an earlier response closed the connection
//	EVAC      a request reached an evacuated data centre
//	FAILBACK  a cold upstream received too many requests in a second; upstreams are
//	          cold after a restart and after a long evacuation of their data centre
//	LIMIT     an upstream received more requests than the rate limit that it reports
//	DRAIN     a request reached an upstream through a host that had received its report
//	          of leaving more than rangeowner.DrainGrace before the request began, or had
//	          acknowledged its leaving, by its entry, more than drainTimeout before
//	BUDGET    a fatal request crashed too many upstreams, or a host sent too many
//	          requests to an upstream during its backoff
package soak
