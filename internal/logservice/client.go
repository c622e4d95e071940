package logservice

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/internal/progress"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// Stream names used by papayatide.
const (
	// StreamManifests carries published manifests, one per record as JSON.
	StreamManifests = "manifests"
	// StreamPlacement carries placement records; a record's offset is the epoch of
	// its placement.
	StreamPlacement = "placement"
	// StreamEntryHosts carries entry hosts' heartbeats.
	StreamEntryHosts = "entryhosts"
)

// ErrConflict is returned by AppendAt when the stream's next offset is not the
// expected one: another writer appended first, and nothing was written.
var ErrConflict = errors.New("log: another record was appended first")

// ErrUnknownOutcome is returned when an append failed for any other reason, e.g. a
// lost response: the record may have been written.
var ErrUnknownOutcome = errors.New("log: append outcome unknown")

// Client is a client of one log service.
type Client struct {
	baseURL string
	rpc     logsvcpb.Log
}

// callTimeout bounds each call until its response begins and between the response's parts;
// see package progress.
const callTimeout = 5 * time.Second

// New returns a client for the log service at baseURL.
func New(baseURL string, httpClient *http.Client) *Client {
	hc := *httpClient
	hc.Transport = progress.Transport{Base: cmp.Or(hc.Transport, http.DefaultTransport)}
	return &Client{baseURL: baseURL, rpc: logsvcpb.NewLogProtobufClient(baseURL, &hc)}
}

// Append appends data to stream and returns the record's offset.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := progress.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.rpc.Append(ctx, &logsvcpb.AppendRequest{Stream: stream, Data: data})
	if err != nil {
		return 0, c.appendErr(err, stream)
	}
	return resp.Offset, nil
}

// AppendAt appends data to stream only if the record's offset is next. It returns
// ErrConflict if the stream's next offset is another (see ConflictNext), and
// ErrUnknownOutcome if the append failed in any other way.
func (c *Client) AppendAt(ctx context.Context, stream string, data []byte, next int64) (int64, error) {
	ctx, cancel := progress.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.rpc.Append(ctx, &logsvcpb.AppendRequest{Stream: stream, Data: data, ExpectedNext: next, Conditional: true})
	if err != nil {
		return 0, c.appendErr(err, stream)
	}
	return resp.Offset, nil
}

// ConflictNext returns the stream's next offset from an ErrConflict, and whether
// err carries one.
func ConflictNext(err error) (int64, bool) {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) || twirpErr.Code() != twirp.FailedPrecondition {
		return 0, false
	}
	next, parseErr := strconv.ParseInt(twirpErr.Meta("next"), 10, 64)
	return next, parseErr == nil
}

// appendErr wraps the error of an append as ErrConflict or ErrUnknownOutcome.
func (c *Client) appendErr(err error, stream string) error {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.FailedPrecondition {
		return eris.Wrapf(&conflictError{cause: err}, "log %s: append %s", c.baseURL, stream)
	}
	return eris.Wrapf(&unknownOutcomeError{cause: err}, "log %s: append %s", c.baseURL, stream)
}

// Batch is the result of one read.
type Batch struct {
	// Records are in offset order.
	Records []*logsvcpb.Record
	// Next is the offset of the stream's next record, not yet written.
	Next int64
	// First is the offset of the oldest retained record.
	First int64
}

// Read returns up to max records of stream, starting at offset from or at the oldest
// retained record, whichever is later; a max of 0 means the log service's own limit.
// If from is past the end, the batch has no records, but Next and First are set.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int) (*Batch, error) {
	ctx, cancel := progress.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.rpc.Read(ctx, &logsvcpb.ReadRequest{Stream: stream, From: from, Max: int32(max)})
	if err != nil {
		return nil, eris.Wrapf(err, "log %s: read %s from %d", c.baseURL, stream, from)
	}
	return &Batch{Records: resp.Records, Next: resp.Next, First: resp.First}, nil
}

// Scan reads stream from offset from to its end, page by page, and calls visit for
// each record. If the record at from has expired, it calls onGap with the oldest
// retained offset. It returns the offset at which to continue, even if it returns an
// error.
func (c *Client) Scan(ctx context.Context, stream string, from int64, onGap func(first int64), visit func(*logsvcpb.Record)) (int64, error) {
	for {
		b, err := c.Read(ctx, stream, from, 0)
		if err != nil {
			return from, err
		}
		if b.First > from {
			onGap(b.First)
		}
		for _, rec := range b.Records {
			from = rec.Offset + 1
			visit(rec)
		}
		if len(b.Records) == 0 || from >= b.Next {
			return max(from, b.Next), nil
		}
	}
}

// Last returns the newest retained record of stream, nil if there is none, and the
// stream's next offset.
func (c *Client) Last(ctx context.Context, stream string) (*logsvcpb.Record, int64, error) {
	end, err := c.Read(ctx, stream, 1<<62, 1) // past the end, to get only the next offset
	if err != nil {
		return nil, 0, err
	}
	if end.Next == 0 {
		return nil, 0, nil
	}
	b, err := c.Read(ctx, stream, end.Next-1, 1)
	if err != nil {
		return nil, 0, err
	}
	if len(b.Records) == 0 {
		return nil, b.Next, nil
	}
	return b.Records[0], b.Next, nil
}

type conflictError struct{ cause error }

func (e *conflictError) Error() string        { return ErrConflict.Error() + ": " + e.cause.Error() }
func (e *conflictError) Is(target error) bool { return target == ErrConflict }
func (e *conflictError) Unwrap() error        { return e.cause }

type unknownOutcomeError struct{ cause error }

func (e *unknownOutcomeError) Error() string {
	return ErrUnknownOutcome.Error() + ": " + e.cause.Error()
}
func (e *unknownOutcomeError) Is(target error) bool { return target == ErrUnknownOutcome }
func (e *unknownOutcomeError) Unwrap() error        { return e.cause }
