package rangeowner

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Processing gives an upstream slots, a queue and work times of its own instead of a fixed
// work time. Its responses show which body it received and are as long as the request asks
// for (PadParameter).
type Processing struct {
	// Work returns how long a request takes that starts now, and by which factor that is
	// longer than normal at this moment.
	Work func(*http.Request) (d time.Duration, factor float64)
	// ReportsLoad adds a load report to each response.
	ReportsLoad bool
	// slots has a capacity of one element for each request in work.
	slots   chan struct{}
	waiting atomic.Int64
}

// PadParameter is the query parameter that states the length of the padding in the response.
const PadParameter = "pad"

// NewProcessing returns a Processing that works on up to slots requests at a time.
func NewProcessing(slots int, reportsLoad bool, work func(*http.Request) (time.Duration, float64)) *Processing {
	return &Processing{Work: work, ReportsLoad: reportsLoad, slots: make(chan struct{}, slots)}
}

// process reads the body and works on the request in a slot. It returns what the response
// tells of the request, or false if the body did not arrive completely. With ReportsLoad it
// sets the given header of h.
func (p *Processing) process(h http.Header, loadHeader string, r *http.Request) (detail string, ok bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return "", false
	}
	p.waiting.Add(1)
	p.slots <- struct{}{}
	p.waiting.Add(-1)
	d, factor := p.Work(r)
	time.Sleep(d)
	if p.ReportsLoad {
		h.Set(loadHeader, fmt.Sprintf("%d,%d,%d,%.0f", len(p.slots)-1, p.waiting.Load(), cap(p.slots), 100*factor))
	}
	<-p.slots
	pad, _ := strconv.Atoi(r.URL.Query().Get(PadParameter)) // without the parameter, 0
	return Detail(body, pad), true
}

// Detail returns the part of a response that tells which body the upstream received, and the
// padding. It is followed by " ran " and the request's ID.
func Detail(body []byte, pad int) string {
	detail := ""
	if len(body) > 0 {
		detail = fmt.Sprintf(" received %d bytes, checksum %08x", len(body), crc32.ChecksumIEEE(body))
	}
	if pad > 0 {
		detail += " " + strings.Repeat("-", pad)
	}
	return detail
}
