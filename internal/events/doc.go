// Package events defines the numbers of the events that papayatide logs. Every
// log line has its number in the field "event". docs/EVENTS.md lists all events,
// so that operators can search logs by number instead of by message.
//
// Numbers are never reused. Those of retired events remain in docs/EVENTS.md,
// but not as a table row that starts with the number: these rows must list
// exactly the numbers of this package.
//
// In the names, Adopted means that a host has read and validated a record and
// uses it from now on.
package events
