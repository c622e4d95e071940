// Command rig-2 plays the scripts of the review's second part: it starts entry hosts with the
// deploy file's command, and small stand-ins for the platform's store, upstreams and requesters
// around them, all on loopback addresses.
//
// Usage: rig-2 CASE RECORD TROUBLE. The working directory is the root of the repository. If TROUBLE is 0
// the disruption is left out. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a run that hangs.
const maxRun = 90 * time.Second

// recorder writes what was sent, answered and run, with the time since its start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// result prints a line and records it.
func (r *recorder) result(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.add("%s", line)
}

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"late-heartbeat": lateHeartbeat,
	"double-slash":   doubleSlash,
}

func main() {
	signal.Ignore(syscall.SIGPIPE) // the exit code says the result, also to a pipe that is closed
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD TROUBLE")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &recorder{file: file, started: time.Now()}
	w := &world{rec: rec, trouble: os.Args[3] != "0"}
	os.Exit(play(w, cases[os.Args[1]]))
}

// play runs a case and ends everything that it started.
func play(w *world, run func(*world) (bool, error)) int {
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run(w)
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var got outcome
	select {
	case got = <-done:
	case <-stop:
		got.err = errors.New("stopped")
	case <-time.After(maxRun):
		got.err = fmt.Errorf("not done after %v", maxRun)
	}
	w.close()
	switch {
	case got.err != nil:
		w.rec.result("could not run: %s", strings.ReplaceAll(got.err.Error(), "\n", " "))
		return exitNotRun
	case got.broken:
		w.rec.result("broken")
		return exitBroken
	}
	w.rec.result("held")
	return exitHeld
}
