// Command rig plays one case of the review: it starts entry hosts as separate processes, with
// stand-ins of the platform's store, of upstreams and of requesters, and judges what these saw.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts by name. Each returns an error if it could not run.
var cases = map[string]func(e *env) error{
	"extra-answers":  extraAnswers,
	"double-slash":   doubleSlash,
	"slow-pipelines": slowPipelines,
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	dir := flag.String("dir", "", "a temporary folder")
	seed := flag.Uint64("seed", 1, "the seed")
	flag.Parse()
	os.Exit(play(*name, *record, *dir, *seed))
}

// play plays a case and returns the exit code.
func play(name, record, dir string, seed uint64) int {
	script := cases[name]
	if script == nil || dir == "" {
		fmt.Fprintln(os.Stderr, "rig: no such case, or no folder")
		return exitFailed
	}
	j, err := newJudge(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	e := &env{judge: j, dir: dir, seed: seed, trouble: os.Getenv("TROUBLE") != "0", subnet: 1 + os.Getpid()%250}
	j.logf("case %s, seed %d, with the disruption: %v", name, seed, e.trouble)
	err = script(e)
	e.shutDown()
	code := exitHeld
	switch {
	case err != nil:
		j.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		code = exitFailed
	case len(j.violations) > 0:
		code = exitBroken
	}
	j.summarize(code)
	j.close()
	return code
}

// summarize writes the counts and the violations to the record and to standard output.
func (j *judge) summarize(code int) {
	j.countMu.Lock()
	defer j.countMu.Unlock()
	var parts []string
	for what, n := range j.counts {
		parts = append(parts, fmt.Sprintf("%s: %d", what, n))
	}
	sort.Strings(parts)
	lines := []string{strings.Join(parts, ", "), fmt.Sprintf("%d violations, exit %d", len(j.violations), code)}
	if n := len(j.violations); n > 0 {
		lines = append(lines, j.violations[:min(n, 5)]...)
	}
	for _, l := range lines {
		j.logf("%s", l)
		fmt.Println(l)
	}
}
