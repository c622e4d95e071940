package balance

import "time"

// SilenceNotice says that an upstream of a competing service responds to none of several hosts.
// Package inflight finds such upstreams.
type SilenceNotice struct {
	ID string
	// For is how long no host has had a response at least, Left how long the notice is in force.
	For, Left time.Duration
}

// silenceNotice is the last notice about an upstream; the zero value if it was withdrawn.
type silenceNotice struct{ since, until time.Time }

// SetSilenceNotices replaces the notices of all upstreams. Those that the list does not contain are
// withdrawn; all of them expire by themselves.
func (p *Picker) SetSilenceNotices(notices []SilenceNotice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(notices) == 0 && len(p.noticed) == 0 {
		return
	}
	noticed := make(map[string]bool, len(notices))
	for _, n := range notices {
		st := p.state(n.ID)
		known := st.work.noticedSilence(now) > 0
		st.work.notice = silenceNotice{now.Add(-n.For), now.Add(n.Left)}
		if silence := st.work.noticedSilence(now); !known && silence > 0 {
			p.OnSilenceNotice(n.ID, silence)
		}
		noticed[n.ID] = true
	}
	for id := range p.noticed {
		if st := p.states[id]; st != nil && !noticed[id] {
			st.work.notice = silenceNotice{}
		}
	}
	p.noticed = noticed
}

// noticedSilence returns for how long no host has had a response from the upstream, by a notice; 0
// if there is none in force, or if this host has had a response or a load report since: the hosts
// that sent the notice may be cut off from the upstream.
func (w *upstreamWork) noticedSilence(now time.Time) time.Duration {
	if !now.Before(w.notice.until) || w.lastResponse.After(w.notice.since) || w.report.Known() {
		return 0
	}
	return now.Sub(w.notice.since)
}

// NoticedSilence returns for how long no host has had a response from the upstream, by a notice of
// other hosts; 0 if this host relies on none.
func (p *Picker) NoticedSilence(id string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(id).work.noticedSilence(now)
}

// NoticedSilences returns the number of upstreams that count as silent by notices of other hosts.
func (p *Picker) NoticedSilences(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for id := range p.noticed {
		if st := p.states[id]; st != nil && st.work.noticedSilence(now) > 0 {
			n++
		}
	}
	return n
}
