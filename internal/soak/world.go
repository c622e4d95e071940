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
const near, far = "dc", "far"

const (
	keyedService, plainService = "keyed", "plain"
	readHost, chargeHost       = "read.example", "charge.example"
	plainHost                  = "plain.example"
	// routeTimeout is every route's, objectives are half of it.
	routeTimeout = time.Second
	// work is how long an upstream works on a request.
	work = 20 * time.Millisecond
	// clockSkew is how much longer than told an upstream holds keys: its
	// clock may run 2% slow.
	clockSkew = 1.02
	// thaw is how long after a host was resumed a grant of its counts as
	// held up on its way: it was decided on before the pause.
	thaw = 300 * time.Millisecond
)

// place is where an upstream is reached: a proxy before one life after
// another at the same address, every other one under the ID of the one before.
type place struct {
	service string
	// dataCentre is near or far; hosts are near.
	dataCentre string
	proxy      *Proxy
	life       *life
	lives      int
}

// life is one upstream from its start to its end.
type life struct {
	*rangeowner.Upstream
	place *place
	// start tells lives with one ID apart.
	start int64
	up    bool
	srv   *http.Server
	// coldFrom is when it last became cold; zero if it never did.
	coldFrom time.Time
}

// Environment is the platform and the upstreams.
type Environment struct {
	log     *memstore.Log
	logSrv  *http.Server
	logAddr string

	// mu makes grants, ends of upstreams and the check of them one step.
	mu      sync.Mutex
	places  []*place
	all     []*life
	version int
	// slow is the slow start of upstreams that start while callers ask.
	slow desired.SlowStart
	// fatal, if set, is asked as an upstream begins to run a request; true
	// means that it has ended the upstream.
	fatal    func(*life, *http.Request) bool
	resumed  time.Time
	breaches []string
}

func newWorld(keyed, plain int, slow desired.SlowStart) (*Environment, error) {
	w := &Environment{log: memstore.New(), slow: slow}
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
		if err := w.addPlace(service); err != nil {
			return nil, err
		}
	}
	return w, w.publish()
}

func (w *Environment) addPlace(service string) error {
	addr, err := ports.FreeAddr()
	if err != nil {
		return err
	}
	p := &place{service: service, dataCentre: near}
	if len(w.places)%2 == 1 {
		p.dataCentre = far
	}
	if p.proxy, err = NewProxy(addr, ""); err != nil {
		return err
	}
	w.places = append(w.places, p)
	return w.revive(p)
}

// setFatal has f asked of every request that begins to run.
func (w *Environment) setFatal(f func(*life, *http.Request) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fatal = f
}

// endedBy reports whether a request has ended the upstream that runs it.
func (w *Environment) endedBy(l *life, r *http.Request) bool {
	w.mu.Lock()
	f := w.fatal
	w.mu.Unlock()
	return f != nil && f(l, r)
}

// publish writes the next desired state.
func (w *Environment) publish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	doc, err := standin.DesiredRecord(w.version, []standin.Route{{Host: readHost, Service: keyedService, Idempotent: true},
		{Host: chargeHost, Service: keyedService}, {Host: plainHost, Service: plainService}}, map[string]bool{keyedService: true}, routeTimeout, w.slow)
	if err != nil {
		return eris.Wrap(err, "desired state")
	}
	w.log.Put(metastore.StreamDesired, standin.DesiredKey, doc)
	return nil
}

// revive starts the place's next life, if it has none.
func (w *Environment) revive(p *place) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.life != nil && p.life.up {
		return nil
	}
	p.lives++
	id := fmt.Sprintf("i-%s-%d", p.proxy.Addr(), p.lives/2)
	u := rangeowner.New(id, platform.Headers, work)
	l := &life{Upstream: u, place: p, start: int64(p.lives), up: true}
	if p.lives > 1 {
		l.coldFrom = time.Now()
	}
	u.CrashOn = func(r *http.Request) bool { return w.endedBy(l, r) }
	l.srv = &http.Server{Handler: standin.GrantHandler(id, &audited{w, l}, u)}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "upstream")
	}
	go func() { _ = l.srv.Serve(ln) }()
	p.life = l
	w.all = append(w.all, l)
	p.proxy.SetTarget(ln.Addr().String())
	w.list(l, false)
	return nil
}

// list writes the upstream's entry.
func (w *Environment) list(l *life, leaving bool) {
	w.log.Put(metastore.StreamUpstreams, l.ID, standin.UpstreamRecord(&catalogue.Upstream{ID: catalogue.IncarnationID(l.ID, l.start), Service: l.place.service,
		Addr: l.place.proxy.Addr(), DataCentre: l.place.dataCentre, Slots: 6, Leaving: leaving, SlowUntil: l.coldFrom.Add(w.slow.Duration)}))
}

// kill ends the place's life at once; its entry lapses later.
func (w *Environment) kill(p *place) *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := p.life
	l.up = false
	_ = l.srv.Close()
	return l
}

// unlist lets an entry lapse, unless it is a later life's by now.
func (w *Environment) unlist(l *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := l.place.life; now == l || now.ID != l.ID {
		w.log.Put(metastore.StreamUpstreams, l.ID, nil)
	}
}

// forge writes an entry that no upstream wrote in place of the place's own,
// which comes back after a while.
func (w *Environment) forge(p *place, entry []byte, back time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := p.life
	w.log.Put(metastore.StreamUpstreams, l.ID, entry)
	time.AfterFunc(back, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if l.up && p.life == l {
			w.list(l, false)
		}
	})
}

// relist lets every entry lapse and come back a little later, as after an
// outage of the log service.
func (w *Environment) relist(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.places {
		l := p.life
		w.log.Put(metastore.StreamUpstreams, l.ID, nil)
		time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if l.up {
				w.list(l, false)
			}
		})
	}
}

// noteResumed tells that a host was thawed just now.
func (w *Environment) noteResumed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resumed = time.Now()
}

// audited checks each grant against what the other upstreams hold.
type audited struct {
	w *Environment
	l *life
}

// Grant implements standin.Holder. A grant of a host that was thawed just now
// is lost where it would give a key a second owner: it was decided on before
// the pause, and no upstream can tell.
func (a *audited) Grant(r ownership.Range, d time.Duration) error {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	if a.l.Fenced(r) {
		return ownership.ErrFenced
	}
	for _, other := range a.w.all {
		if other == a.l || !other.up || !a.l.up || !other.HoldsAny(r) {
			continue
		}
		if time.Since(a.w.resumed) < thaw {
			return ownership.ErrRejected
		}
		a.w.breaches = append(a.w.breaches, fmt.Sprintf("%s: OWNER: keys %d to %d granted to %s (token %d) while %s holds some of them",
			time.Now().Format(stamp), r.From, r.To, a.l.ID, r.FencingToken, other.ID))
	}
	return a.l.Upstream.Grant(r, time.Duration(clockSkew*float64(d)))
}

// Release implements standin.Holder.
func (a *audited) Release(r ownership.Range) string {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	return a.l.Upstream.Release(r)
}

const stamp = "15:04:05.000"

func (w *Environment) shutDown() {
	for _, p := range w.places {
		w.kill(p)
		p.proxy.Close()
	}
	_ = w.logSrv.Close()
}
