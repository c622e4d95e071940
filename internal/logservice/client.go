package logservice

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// Stream names used by papayatide.
const (
	// StreamManifests carries published manifests, one JSON manifest a record.
	StreamManifests = "manifests"
	// StreamPlacement carries placement records; a record's offset is the
	// epoch of the placement it states.
	StreamPlacement = "placement"
	// StreamEntryHosts carries entry hosts' heartbeats.
	StreamEntryHosts = "entryhosts"
)

// ErrConflict is returned by AppendAt when the stream's next offset was not
// the expected one: someone else appended first and nothing was written.
var ErrConflict = errors.New("log: stream moved on")

// ErrUnknownOutcome is returned when the log did not answer an append: the
// record may or may not have been written.
var ErrUnknownOutcome = errors.New("log: append outcome unknown")

// Client talks to one log service.
type Client struct {
	baseURL string
	rpc     logsvcpb.Log
}

// New returns a client for the log service at base URL addr.
func New(addr string, hc *http.Client) *Client {
	return &Client{baseURL: addr, rpc: logsvcpb.NewLogProtobufClient(addr, hc)}
}

// Append adds data to stream and returns its offset.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	resp, err := c.rpc.Append(ctx, &logsvcpb.AppendRequest{Stream: stream, Data: data})
	if err != nil {
		return 0, c.appendErr(err, stream)
	}
	return resp.Offset, nil
}

// AppendAt adds data to stream only if it gets offset next. It returns
// ErrConflict (with the stream's real next offset) when another record got
// there first, and ErrUnknownOutcome when the log's answer was lost.
func (c *Client) AppendAt(ctx context.Context, stream string, data []byte, next int64) (int64, error) {
	resp, err := c.rpc.Append(ctx, &logsvcpb.AppendRequest{Stream: stream, Data: data, ExpectedNext: next, Conditional: true})
	if err != nil {
		return 0, c.appendErr(err, stream)
	}
	return resp.Offset, nil
}

// ConflictNext returns the stream's next offset carried by an ErrConflict.
func ConflictNext(err error) (int64, bool) {
	var te twirp.Error
	if !errors.As(err, &te) || te.Code() != twirp.FailedPrecondition {
		return 0, false
	}
	n, perr := strconv.ParseInt(te.Meta("next"), 10, 64)
	return n, perr == nil
}

func (c *Client) appendErr(err error, stream string) error {
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.FailedPrecondition {
		return eris.Wrapf(&conflictError{cause: err}, "log %s: append %s", c.baseURL, stream)
	}
	return eris.Wrapf(&unknownOutcomeError{cause: err}, "log %s: append %s", c.baseURL, stream)
}

// Batch is one read's result.
type Batch struct {
	// Records are in offset order.
	Records []*logsvcpb.Record
	// Next is the offset the stream's next record will get.
	Next int64
	// First is the oldest retained offset; records before it are gone.
	First int64
}

// Read returns up to max records of stream from offset from.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int) (*Batch, error) {
	resp, err := c.rpc.Read(ctx, &logsvcpb.ReadRequest{Stream: stream, From: from, Max: int32(max)})
	if err != nil {
		return nil, eris.Wrapf(err, "log %s: read %s from %d", c.baseURL, stream, from)
	}
	return &Batch{Records: resp.Records, Next: resp.Next, First: resp.First}, nil
}

// Scan reads stream from offset from to its end, a page at a time, and hands
// each record to visit. If records before the first kept one were still to be
// read, gap is told the first kept offset. It returns the offset to go on
// from, also with an error.
func (c *Client) Scan(ctx context.Context, stream string, from int64, gap func(first int64), visit func(*logsvcpb.Record)) (int64, error) {
	for {
		b, err := c.Read(ctx, stream, from, 0)
		if err != nil {
			return from, err
		}
		if b.First > from {
			gap(b.First)
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

// Last returns the newest record of stream, or nil if it has none.
func (c *Client) Last(ctx context.Context, stream string) (*logsvcpb.Record, int64, error) {
	head, err := c.Read(ctx, stream, 1<<62, 1)
	if err != nil {
		return nil, 0, err
	}
	if head.Next == 0 {
		return nil, 0, nil
	}
	b, err := c.Read(ctx, stream, head.Next-1, 1)
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
