#!/usr/bin/env python3
"""Refusals and failures of entry hosts by cause, service, time and upstream.

Reads the log lines of `papayatided entry` from the files named, or from
standard input; what a log collector put before the JSON (a time, a host) is
used where it is there. Prints one table each:

  by service and cause   how many requests ended so
  by second              what was refused when, with changes of planner and of
                         ownership beside it
  by upstream            which upstreams the refused requests were meant for

usage: summary.py [--step SECONDS] [--from T] [--to T] [LOG-FILE...]
"""
import argparse
import collections
import fileinput
import json

REFUSED, FAILED = 801, 802  # docs/EVENTS.md
BELIEFS = {
    700: "seat taken", 701: "seat lost", 702: "term started", 703: "term ended",
    706: "owner lost", 610: "log lost", 611: "log regained", 613: "planner left", 614: "stood still",
}
RECORDED = 704
MOST_UPSTREAMS = 15


def lines(files):
    """Yields (time, fields) of every log line; the collector's time if any."""
    for text in fileinput.input(files):
        at = text.find("{")
        if at < 0:
            continue
        try:
            fields = json.loads(text[at:])
        except ValueError:
            continue  # another program's line
        before = text[:at].split()
        try:
            seconds = float(before[0])
        except (IndexError, ValueError):
            seconds = fields.get("ts", 0.0)
        if "event" in fields:
            yield seconds, fields


def cause(fields):
    return fields.get("cause") or "upstream's own %s" % fields["status"]


def kind(fields):
    return "keyed" if "key" in fields else "not keyed"


def main():
    args = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    args.add_argument("--step", type=float, default=1.0, help="seconds a row of the table by time")
    args.add_argument("--from", dest="first", type=float, default=float("-inf"))
    args.add_argument("--to", type=float, default=float("inf"))
    args.add_argument("files", nargs="*")
    opts = args.parse_args()
    by_cause, by_upstream = collections.Counter(), collections.defaultdict(collections.Counter)
    by_time = collections.defaultdict(collections.Counter)
    for seconds, fields in lines(opts.files):
        if not opts.first <= seconds < opts.to:
            continue
        row = by_time[int(seconds // opts.step)]
        event = fields["event"]
        if event in (REFUSED, FAILED):
            by_cause[fields.get("service") or "(no route)", kind(fields), cause(fields)] += 1
            row["%s: %s" % (kind(fields), cause(fields))] += 1
            if "peer" in fields:
                by_upstream[fields["peer"]][cause(fields)] += 1
        elif event == RECORDED:
            row["[recorded: %s]" % fields.get("cause", "")] += 1
        elif event in BELIEFS:
            row["[%s]" % BELIEFS[event]] += 1
    print("by service and cause")
    for (service, k, c), n in by_cause.most_common():
        print("%7d  %s (%s)  %s" % (n, service, k, c))
    print("by second")
    for row in sorted(by_time):
        if by_time[row]:
            print("%9.1f  %s" % (row * opts.step, ", ".join("%d %s" % (n, c) for c, n in by_time[row].most_common())))
    print("by upstream")
    for peer, causes in sorted(by_upstream.items(), key=lambda x: -sum(x[1].values()))[:MOST_UPSTREAMS]:
        print("%7d  %s  %s" % (sum(causes.values()), peer, ", ".join("%d %s" % (n, c) for c, n in causes.most_common(3))))


if __name__ == "__main__":
    main()
