package entryhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/relay"
)

const (
	// followWait is how long a call to the planner waits for something new.
	// Load is reported with each call, and a burst on a few keys is to be
	// answered within a second.
	followWait = 300 * time.Millisecond
	// followTimeout bounds such a call; a planner that does not answer in
	// time is taken for lost and the log service is read directly.
	followTimeout = followWait + 400*time.Millisecond
	// copyAge is the greatest age of the planner's copy that is relied on.
	// With followTimeout it leaves a host behind the log by at most 1.8 s
	// before it reads for itself.
	copyAge = 1100 * time.Millisecond
	// seekPlanner is the pause between calls while the planner is unknown,
	// this host itself, or does not answer.
	seekPlanner = 150 * time.Millisecond
)

// feed keeps the copy of the log current: from the planner's copy where that
// is young enough, from the log service otherwise.
type feed struct {
	peers     *peer.Client
	copy      *relay.Copy
	followers []*follower
	// planner returns the planner's peer address; empty if there is none
	// or it is this host.
	planner func() string
	// takeLoads returns the load to report, localLoads uses it on the
	// planner itself.
	takeLoads  func() []peer.ServiceLoad
	localLoads func([]peer.ServiceLoad)
	apply      func(relay.Batch)
	// followed is told that a call to the planner was good, and for how long
	// the planner has reached the log service.
	followed func(steady time.Duration)
	zl       *zap.Logger

	stopDirect context.CancelFunc
	// following is the planner whose copy is relied on, if any.
	following string
}

// run keeps the copy current until ctx ends.
func (f *feed) run(ctx context.Context) {
	f.direct(ctx)
	for ctx.Err() == nil {
		if f.follow(ctx) {
			f.indirect()
			continue
		}
		f.direct(ctx)
		pause(ctx, seekPlanner)
	}
	f.indirect()
}

// follow makes one call to the planner and reports whether it can be relied
// on.
func (f *feed) follow(ctx context.Context) bool {
	addr := f.planner()
	loads := f.takeLoads()
	if addr == "" {
		f.localLoads(loads)
		f.note("", 0, nil)
		return false
	}
	positions := map[metastore.Stream]int64{}
	for _, s := range relay.Streams {
		positions[s] = f.copy.Next(s)
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	got, err := f.peers.Follow(ctx, addr, positions, loads, followWait)
	if err != nil {
		f.note("", 0, err)
		return false
	}
	for _, b := range got.Batches {
		f.apply(b)
	}
	if got.Age > copyAge {
		f.note("", got.Age, nil)
		return false
	}
	f.note(addr, got.Age, nil)
	f.followed(got.Steady)
	return true
}

// note logs that another planner's copy is relied on, or none any more.
func (f *feed) note(addr string, age time.Duration, err error) {
	if addr == f.following {
		return
	}
	if addr != "" {
		f.zl.Info("planner's copy of the log followed", zap.Int("event", events.PlannerFollowed), zap.String("planner", addr), zap.Duration("age", age))
	} else {
		f.zl.Info("planner's copy of the log left", zap.Int("event", events.PlannerUnfollowed), zap.String("planner", f.following),
			zap.Duration("age", age), ErrorField(err))
	}
	f.following = addr
}

// direct has the log service read, if it is not already.
func (f *feed) direct(ctx context.Context) {
	if f.stopDirect != nil {
		return
	}
	dctx, cancel := context.WithCancel(ctx)
	f.stopDirect = cancel
	for _, fl := range f.followers {
		go fl.run(dctx)
	}
}

// indirect ends reading the log service.
func (f *feed) indirect() {
	if f.stopDirect != nil {
		f.stopDirect()
		f.stopDirect = nil
	}
}
