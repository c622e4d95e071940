// Package events defines the numbers of the events that papayatide logs. Every
// log line has its number in the field "event". docs/EVENTS.md lists all events,
// so that operators can search logs by number instead of by message.
package events
