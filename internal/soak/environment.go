package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/internal/standin/ports"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
	"github.com/papayatide/papayatide/platform"
	"github.com/papayatide/papayatide/platform/standin"
)

// nearDC is the hosts' data centre, farDC the other one.
const nearDC, farDC = "dc", "far"

const (
	// Requests to keyedService have a key, those to unkeyedService have none.
	// readVHost and chargeVHost are the Host headers of the idempotent and the
	// non-idempotent route to keyedService, unkeyedVHost is that of the only route
	// to unkeyedService; see hardLoadRoutes for the others of Options.HardLoad.
	keyedService, unkeyedService = "keyed", "plain"
	readVHost, chargeVHost       = "read.example", "charge.example"
	unkeyedVHost                 = "plain.example"
	// routeTimeout is the request timeout of every route. standin.DesiredRecord
	// sets the latency objectives to half of it.
	routeTimeout = time.Second
	// workTime is how long an upstream takes to run a request.
	workTime = 20 * time.Millisecond
	// slots is the number of slots in the upstreams' entries.
	slots = 6
	// clockDriftFactor is the factor by which an upstream exceeds the TTL of each grant:
	// its clock may run 2% slow.
	clockDriftFactor = 1.02
	// resumeGrace is how long after the resume of any host a conflicting grant counts
	// as decided by that host before its pause, and not as a violation.
	resumeGrace = 300 * time.Millisecond
)

// endpoint is a fixed proxy address behind which the incarnations of an upstream
// run one after another. Every other incarnation reuses the ID of the previous one.
type endpoint struct {
	service    string
	dataCentre string // nearDC or farDC
	proxy      *Proxy
	// current is the latest incarnation, also after it was killed.
	current *incarnation
	// starts counts the incarnations.
	starts int
	// pace is nil unless Options.HardLoad is set.
	pace *pace
}

// incarnation is one run of an upstream, from its start until it is killed.
type incarnation struct {
	*rangeowner.Upstream
	endpoint *endpoint
	// startNumber is sent as the start time in the upstream's entry. It
	// distinguishes incarnations that share an ID.
	startNumber int64
	up          bool
	srv         *http.Server
	// sequence counts its entries. draining is set once one states that it drains, withdrawn once it has left
	// without a report and writes no more.
	sequence            int64
	draining, withdrawn bool
	// coldFrom is when the upstream last became cold; zero if it never did.
	coldFrom time.Time
}

// Environment holds what the entry hosts connect to: a stand-in of the platform's log
// service and the upstreams.
type Environment struct {
	log     *memstore.Log
	logSrv  *http.Server
	logAddr string

	// mu serializes grants, starts and kills of upstreams, and the check that no
	// key has two owners.
	mu        sync.Mutex
	endpoints []*endpoint
	// incarnations are all that were ever started, of all endpoints.
	incarnations []*incarnation
	// version is that of the latest desired state.
	version int
	// slowStart applies to upstreams that start or become cold during the run.
	slowStart desired.SlowStart
	// idleTimeout is when upstreams close idle connections, which they state; 0 for never.
	idleTimeout time.Duration
	// routes are those of the desired state.
	routes []standin.Route
	// crashOn, if set, is called when an upstream begins to run a request. It
	// returns true if it has crashed the upstream.
	crashOn func(*incarnation, *http.Request) bool
	// lastResume is when a host was last resumed after a pause.
	lastResume time.Time
	violations []string
	// grantsByToken holds the grants that upstreams have accepted; see checkToken.
	grantsByToken map[int64][]acceptedGrant
}

// newEnvironment starts the log service and the given numbers of upstreams of
// keyedService and unkeyedService, every other one in farDC, and publishes the first
// desired state. hardLoad draws the paces of Options.HardLoad; nil without it.
func newEnvironment(keyed, unkeyed int, slow desired.SlowStart, hardLoad *rand.Rand, idleTimeout time.Duration) (*Environment, error) {
	env := &Environment{log: memstore.New(), slowStart: slow, idleTimeout: idleTimeout, grantsByToken: map[int64][]acceptedGrant{}, routes: plainRoutes}
	paces := make([]*pace, keyed+unkeyed)
	if hardLoad != nil {
		env.routes = hardLoadRoutes
		paces = append(drawPaces(hardLoad, keyed), drawPaces(hardLoad, unkeyed)...)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "log service")
	}
	env.logAddr = ln.Addr().String()
	env.logSrv = &http.Server{Handler: standin.Log{Log: env.log}}
	go func() { _ = env.logSrv.Serve(ln) }()
	for i := range keyed + unkeyed {
		service := keyedService
		if i >= keyed {
			service = unkeyedService
		}
		if err := env.addEndpoint(service, paces[i]); err != nil {
			return nil, err
		}
	}
	return env, env.publish()
}

// addEndpoint adds an endpoint of a service and starts its first incarnation.
func (env *Environment) addEndpoint(service string, p *pace) error {
	addr, err := ports.FreeAddr()
	if err != nil {
		return err
	}
	ep := &endpoint{service: service, dataCentre: nearDC, pace: p}
	if len(env.endpoints)%2 == 1 {
		ep.dataCentre = farDC
	}
	if ep.proxy, err = NewProxy(addr, ""); err != nil {
		return err
	}
	env.endpoints = append(env.endpoints, ep)
	return env.startUpstream(ep)
}

// setCrashOn sets the function that is called when an upstream begins to run a request.
// The function may crash the upstream and then returns true.
func (env *Environment) setCrashOn(f func(*incarnation, *http.Request) bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.crashOn = f
}

// crashedBy calls crashOn, if it is set, when the upstream begins to run the request. It
// reports whether that crashed the upstream.
func (env *Environment) crashedBy(inc *incarnation, r *http.Request) bool {
	env.mu.Lock()
	f := env.crashOn
	env.mu.Unlock()
	return f != nil && f(inc, r)
}

// plainRoutes are the routes without Options.HardLoad.
var plainRoutes = []standin.Route{{Host: readVHost, Service: keyedService, Idempotent: true},
	{Host: chargeVHost, Service: keyedService}, {Host: unkeyedVHost, Service: unkeyedService}}

// publish writes the next version of the desired state to the log.
func (env *Environment) publish() error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.version++
	doc, err := standin.DesiredRecord(env.version, env.routes, map[string]bool{keyedService: true}, routeTimeout, env.slowStart)
	if err != nil {
		return eris.Wrap(err, "desired state")
	}
	env.log.Put(metastore.StreamOperators, standin.DesiredKey, doc)
	return nil
}

// startUpstream starts the endpoint's next incarnation unless one is up.
func (env *Environment) startUpstream(ep *endpoint) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	if ep.current != nil && ep.current.up {
		return nil
	}
	ep.starts++
	id := fmt.Sprintf("i-%s-%d", ep.proxy.Addr(), ep.starts/2)
	u := rangeowner.New(id, platform.Headers, workTime)
	inc := &incarnation{Upstream: u, endpoint: ep, startNumber: int64(ep.starts), up: true}
	if ep.starts > 1 {
		inc.coldFrom = time.Now()
	}
	if ep.pace != nil {
		u.Processing = rangeowner.NewProcessing(slots, ep.pace.reportsLoad, ep.pace.work)
	}
	u.CrashOn = func(r *http.Request) bool { return env.crashedBy(inc, r) }
	inc.srv = &http.Server{Handler: env.withKeepAlive(standin.GrantHandler(id, &auditedGrantee{env, inc}, u)), IdleTimeout: env.idleTimeout}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "upstream")
	}
	go func() { _ = inc.srv.Serve(ln) }()
	ep.current = inc
	env.incarnations = append(env.incarnations, inc)
	ep.proxy.SetServer(ln.Addr().String())
	env.writeEntry(inc, false)
	return nil
}

// withKeepAlive has responses state the idle timeout of upstreams.
func (env *Environment) withKeepAlive(next http.Handler) http.Handler {
	if env.idleTimeout == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(env.idleTimeout.Seconds())))
		next.ServeHTTP(w, r)
	})
}

// writeEntry writes the upstream's entry, its record in the upstreams' stream, to the log. From the first
// that states that it is leaving on, all do. env.mu must be locked.
func (env *Environment) writeEntry(inc *incarnation, leaving bool) {
	if leaving {
		inc.draining = true
		inc.SetDraining()
	}
	env.log.Put(metastore.StreamUpstreams, inc.ID, env.nextEntry(inc))
}

// nextEntry returns the entry that the upstream writes next. env.mu must be locked.
func (env *Environment) nextEntry(inc *incarnation) []byte {
	inc.sequence++
	return standin.UpstreamRecord(&catalogue.Upstream{ID: catalogue.IncarnationID(inc.ID, inc.startNumber), Service: inc.endpoint.service, Sequence: inc.sequence,
		Addr: inc.endpoint.proxy.Addr(), DataCentre: inc.endpoint.dataCentre, Slots: slots, Leaving: inc.draining, SlowUntil: inc.coldFrom.Add(env.slowStart.Duration)})
}

// kill closes the endpoint's current incarnation at once and returns it. The entry
// stays until expireEntry deletes it.
func (env *Environment) kill(ep *endpoint) *incarnation {
	env.mu.Lock()
	defer env.mu.Unlock()
	inc := ep.current
	inc.up = false
	_ = inc.srv.Close()
	return inc
}

// expireEntry deletes the incarnation's entry, unless a later incarnation with the
// same ID has replaced it.
func (env *Environment) expireEntry(inc *incarnation) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if now := inc.endpoint.current; now == inc || now.ID != inc.ID {
		env.log.Put(metastore.StreamUpstreams, inc.ID, nil)
	}
}

// forgeEntry replaces the entry of the endpoint's upstream by one that the upstream
// did not write. The upstream writes its own entry again after restoreAfter.
func (env *Environment) forgeEntry(ep *endpoint, entry []byte, restoreAfter time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	inc := ep.current
	env.log.Put(metastore.StreamUpstreams, inc.ID, entry)
	time.AfterFunc(restoreAfter, func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		if inc.up && !inc.withdrawn && ep.current == inc {
			env.writeEntry(inc, false)
		}
	})
}

// expireAndRestoreEntries deletes every upstream's entry and writes it again after
// the given time, as happens after an outage of the log service.
func (env *Environment) expireAndRestoreEntries(after time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, ep := range env.endpoints {
		inc := ep.current
		env.log.Put(metastore.StreamUpstreams, inc.ID, nil)
		time.AfterFunc(after, func() {
			env.mu.Lock()
			defer env.mu.Unlock()
			if inc.up && !inc.withdrawn {
				env.writeEntry(inc, false)
			}
		})
	}
}

// recordResume records that a host is being resumed now.
func (env *Environment) recordResume() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.lastResume = time.Now()
}

// auditedGrantee checks each grant against the ranges that other upstreams hold.
type auditedGrantee struct {
	env *Environment
	inc *incarnation
}

// Grant implements standin.Grantee. Within resumeGrace of a host's resume it rejects
// a grant that would give a key a second owner: the host decided on the grant before
// its pause, which no upstream can recognize.
func (a *auditedGrantee) Grant(r ownership.Range, d time.Duration) error {
	a.env.mu.Lock()
	defer a.env.mu.Unlock()
	if a.inc.Fenced(r) {
		return ownership.ErrFenced
	}
	for _, other := range a.env.incarnations {
		if other == a.inc || !other.up || !a.inc.up || !other.HoldsAny(r) {
			continue
		}
		if time.Since(a.env.lastResume) < resumeGrace {
			return ownership.ErrRejected
		}
		a.env.violations = append(a.env.violations, fmt.Sprintf("%s: OWNER: keys %d to %d granted to %s (token %d) while %s holds some of them",
			time.Now().Format(timestampFormat), r.From, r.To, a.inc.ID, r.FencingToken, other.ID))
	}
	err := a.inc.Upstream.Grant(r, time.Duration(clockDriftFactor*float64(d)))
	if err == nil {
		a.env.checkToken(acceptedGrant{r.From, r.To, a.inc}, r.FencingToken)
	}
	return err
}

// acceptedGrant is a grant that an upstream has accepted.
type acceptedGrant struct {
	from, to int
	inc      *incarnation
}

// checkToken records a violation if an upstream with another ID has accepted a grant of one of the
// keys under the same token. A host that has not read of a restart yet sends the grants of an
// upstream to its next incarnation, which cannot tell. env.mu must be locked.
func (env *Environment) checkToken(g acceptedGrant, token int64) {
	for _, old := range env.grantsByToken[token] {
		if old == g {
			return
		}
		if old.inc.ID != g.inc.ID && old.from <= g.to && g.from <= old.to {
			env.violations = append(env.violations, fmt.Sprintf("%s: OWNER: keys %d to %d granted to %s under token %d, under which %s had some of them",
				time.Now().Format(timestampFormat), g.from, g.to, g.inc.ID, token, old.inc.ID))
		}
	}
	env.grantsByToken[token] = append(env.grantsByToken[token], g)
}

// Release implements standin.Grantee.
func (a *auditedGrantee) Release(r ownership.Range) string {
	a.env.mu.Lock()
	defer a.env.mu.Unlock()
	return a.inc.Upstream.Release(r)
}

// timestampFormat is the format of times in violations and faults.
const timestampFormat = "15:04:05.000"

// shutDown kills all upstreams and closes the proxies and the log service.
func (env *Environment) shutDown() {
	for _, ep := range env.endpoints {
		env.kill(ep)
		ep.proxy.Close()
	}
	_ = env.logSrv.Close()
}
