#!/usr/bin/env python3
"""Summarizes refused and failed requests from the logs of entry hosts.

Reads the log lines of `papayatided entry` from the given files, or from standard
input. If a log collector has put a time in seconds before the JSON object, that time
is used instead of the line's own. Prints three tables:

  by service and cause   number of refused and failed requests per cause
  by second              refused and failed requests over time, and in brackets
                         events of the planner, the ownership and the log service
  by upstream            upstreams for which the refused and failed requests were meant

usage: summary.py [--step SECONDS] [--from T] [--to T] [LOG-FILE...]
"""
import argparse
import collections
import fileinput
import json

# Event numbers; docs/EVENTS.md lists them.
REFUSED, FAILED = 801, 802
# Labels of control events in the table by second.
CONTROL_EVENTS = {
    700: "planner lease acquired", 701: "planner lease lost", 702: "term started", 703: "term ended",
    706: "owner lost", 610: "log lost", 611: "log recovered", 613: "planner no longer followed", 614: "host stalled",
}
RECORDED = 704  # a change of ownership
MOST_UPSTREAMS = 15


def lines(files):
    """Yields the time in seconds and the fields of each log line that has an event number."""
    for text in fileinput.input(files):
        at = text.find("{")
        if at < 0:
            continue
        try:
            fields = json.loads(text[at:])
        except ValueError:
            continue  # not a log line of an entry host
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
    args.add_argument("--step", type=float, default=1.0, help="seconds per row of the table by second")
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
        elif event in CONTROL_EVENTS:
            row["[%s]" % CONTROL_EVENTS[event]] += 1
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
