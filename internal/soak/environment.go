package soak

import (
	"fmt"
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

// near is the hosts' data centre, far the other one.
const nearDC, farDC = "dc", "far"

const (
	keyedService, plainService = "keyed", "plain"
	readHost, chargeHost       = "read.example", "charge.example"
	plainHost                  = "plain.example"
	// routeTimeout is every route's, objectives are half of it.
	routeTimeout = time.Second
	// workTime is how long an upstream works on a request.
	workTime = 20 * time.Millisecond
	// clockSkew is how much longer than told an upstream holds keys: its
	// clock may run 2% slow.
	clockSkew = 1.02
	// resumeGrace is how long after a host was resumed a grant of its counts as
	// held up on its way: it was decided on before the pause.
	resumeGrace = 300 * time.Millisecond
)

// endpoint is where an upstream is reached: a proxy before one life after
// another at the same address, every other one under the ID of the one before.
type endpoint struct {
	service string
	// dataCentre is near or far; hosts are near.
	dataCentre string
	proxy      *Proxy
	current    *incarnation
	starts     int
}

// incarnation is one upstream from its start to its end.
type incarnation struct {
	*rangeowner.Upstream
	endpoint *endpoint
	// startNumber tells lives with one ID apart.
	startNumber int64
	up          bool
	srv         *http.Server
	// coldFrom is when it last became cold; zero if it never did.
	coldFrom time.Time
}

// Environment is the platform and the upstreams.
type Environment struct {
	log     *memstore.Log
	logSrv  *http.Server
	logAddr string

	// mu makes grants, ends of upstreams and the check of them one step.
	mu           sync.Mutex
	endpoints    []*endpoint
	incarnations []*incarnation
	version      int
	// slowStart is the slow start of upstreams that start while callers ask.
	slowStart desired.SlowStart
	// fatal, if set, is asked as an upstream begins to run a request; true
	// means that it has ended the upstream.
	crashOn    func(*incarnation, *http.Request) bool
	lastResume time.Time
	violations []string
}

func newEnvironment(keyed, plain int, slow desired.SlowStart) (*Environment, error) {
	w := &Environment{log: memstore.New(), slowStart: slow}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "log service")
	}
	w.logAddr = ln.Addr().String()
	w.logSrv = &http.Server{Handler: standin.Log{Log: w.log}}
	go func() { _ = w.logSrv.Serve(ln) }()
	for i := range keyed + plain {
		service := keyedService
		if i >= keyed {
			service = plainService
		}
		if err := w.addEndpoint(service); err != nil {
			return nil, err
		}
	}
	return w, w.publish()
}

func (w *Environment) addEndpoint(service string) error {
	addr, err := ports.FreeAddr()
	if err != nil {
		return err
	}
	p := &endpoint{service: service, dataCentre: nearDC}
	if len(w.endpoints)%2 == 1 {
		p.dataCentre = farDC
	}
	if p.proxy, err = NewProxy(addr, ""); err != nil {
		return err
	}
	w.endpoints = append(w.endpoints, p)
	return w.startUpstream(p)
}

// setCrashOn has f asked of every request that begins to run.
func (w *Environment) setCrashOn(f func(*incarnation, *http.Request) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashOn = f
}

// crashedBy reports whether a request has ended the upstream that runs it.
func (w *Environment) crashedBy(l *incarnation, r *http.Request) bool {
	w.mu.Lock()
	f := w.crashOn
	w.mu.Unlock()
	return f != nil && f(l, r)
}

// publish writes the next desired state.
func (w *Environment) publish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	doc, err := standin.DesiredRecord(w.version, []standin.Route{{Host: readHost, Service: keyedService, Idempotent: true},
		{Host: chargeHost, Service: keyedService}, {Host: plainHost, Service: plainService}}, map[string]bool{keyedService: true}, routeTimeout, w.slowStart)
	if err != nil {
		return eris.Wrap(err, "desired state")
	}
	w.log.Put(metastore.StreamDesired, standin.DesiredKey, doc)
	return nil
}

// startUpstream starts the place's next life, if it has none.
func (w *Environment) startUpstream(p *endpoint) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.current != nil && p.current.up {
		return nil
	}
	p.starts++
	id := fmt.Sprintf("i-%s-%d", p.proxy.Addr(), p.starts/2)
	u := rangeowner.New(id, platform.Headers, workTime)
	l := &incarnation{Upstream: u, endpoint: p, startNumber: int64(p.starts), up: true}
	if p.starts > 1 {
		l.coldFrom = time.Now()
	}
	u.CrashOn = func(r *http.Request) bool { return w.crashedBy(l, r) }
	l.srv = &http.Server{Handler: standin.GrantHandler(id, &auditedGrantee{w, l}, u)}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "upstream")
	}
	go func() { _ = l.srv.Serve(ln) }()
	p.current = l
	w.incarnations = append(w.incarnations, l)
	p.proxy.SetTarget(ln.Addr().String())
	w.writeEntry(l, false)
	return nil
}

// writeEntry writes the upstream's entry.
func (w *Environment) writeEntry(l *incarnation, leaving bool) {
	w.log.Put(metastore.StreamUpstreams, l.ID, standin.UpstreamRecord(&catalogue.Upstream{ID: catalogue.IncarnationID(l.ID, l.startNumber), Service: l.endpoint.service,
		Addr: l.endpoint.proxy.Addr(), DataCentre: l.endpoint.dataCentre, Slots: 6, Leaving: leaving, SlowUntil: l.coldFrom.Add(w.slowStart.Duration)}))
}

// kill ends the place's life at once; its entry lapses later.
func (w *Environment) kill(p *endpoint) *incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := p.current
	l.up = false
	_ = l.srv.Close()
	return l
}

// expireEntry lets an entry lapse, unless it is a later life's by now.
func (w *Environment) expireEntry(l *incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := l.endpoint.current; now == l || now.ID != l.ID {
		w.log.Put(metastore.StreamUpstreams, l.ID, nil)
	}
}

// forgeEntry writes an entry that no upstream wrote in place of the place's own,
// which comes back after a while.
func (w *Environment) forgeEntry(p *endpoint, entry []byte, back time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := p.current
	w.log.Put(metastore.StreamUpstreams, l.ID, entry)
	time.AfterFunc(back, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if l.up && p.current == l {
			w.writeEntry(l, false)
		}
	})
}

// expireAndRestoreEntries lets every entry lapse and come back a little later, as after an
// outage of the log service.
func (w *Environment) expireAndRestoreEntries(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.endpoints {
		l := p.current
		w.log.Put(metastore.StreamUpstreams, l.ID, nil)
		time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if l.up {
				w.writeEntry(l, false)
			}
		})
	}
}

// recordResume tells that a host was thawed just now.
func (w *Environment) recordResume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastResume = time.Now()
}

// auditedGrantee checks each grant against what the other upstreams hold.
type auditedGrantee struct {
	env *Environment
	inc *incarnation
}

// Grant implements standin.Holder. A grant of a host that was thawed just now
// is lost where it would give a key a second owner: it was decided on before
// the pause, and no upstream can tell.
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
	return a.inc.Upstream.Grant(r, time.Duration(clockSkew*float64(d)))
}

// Release implements standin.Holder.
func (a *auditedGrantee) Release(r ownership.Range) string {
	a.env.mu.Lock()
	defer a.env.mu.Unlock()
	return a.inc.Upstream.Release(r)
}

const timestampFormat = "15:04:05.000"

func (w *Environment) shutDown() {
	for _, p := range w.endpoints {
		w.kill(p)
		p.proxy.Close()
	}
	_ = w.logSrv.Close()
}
