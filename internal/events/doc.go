// Package events numbers the events papayatide logs. Every log line carries
// one number in its "event" field; docs/EVENTS.md catalogues them all, so an
// operator can search by number rather than by wording.
package events
