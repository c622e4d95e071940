package logservice_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/standin/logsvc"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// Two operators publish at the same expected offset. The second append must return
// ErrConflict with the stream's next offset, and the stream must hold only the first
// record, or one operator would overwrite the other's change unnoticed.
func TestConcurrentAppendsAtOneOffsetWriteOneRecord(t *testing.T) {
	srv := httptest.NewServer(logsvc.NewServer(0).Handler())
	defer srv.Close()
	c := logservice.New(srv.URL, srv.Client())
	ctx := context.Background()
	if _, err := c.AppendAt(ctx, "s", []byte("first"), 0); err != nil {
		t.Fatal(err)
	}
	_, err := c.AppendAt(ctx, "s", []byte("second"), 0)
	if !errors.Is(err, logservice.ErrConflict) {
		t.Fatalf("second append: %v, want ErrConflict", err)
	}
	if next, ok := logservice.ConflictNext(err); !ok || next != 1 {
		t.Fatalf("conflict next = %d %v, want 1", next, ok)
	}
	b, err := c.Read(ctx, "s", 0, 10)
	if err != nil || len(b.Records) != 1 || string(b.Records[0].Data) != "first" {
		t.Fatalf("stream = %+v %v", b, err)
	}
}

// The log's response is lost after the record was written. The append must return
// ErrUnknownOutcome, not an error that means "not written", and a read finds the record.
func TestLostAppendResponseIsUnknownOutcome(t *testing.T) {
	ls := logsvc.NewServer(0)
	ls.SetFaults(logsvc.Faults{LoseAckRate: 1})
	srv := httptest.NewServer(ls.Handler())
	defer srv.Close()
	c := logservice.New(srv.URL, srv.Client())
	_, err := c.AppendAt(context.Background(), "s", []byte("x"), 0)
	if !errors.Is(err, logservice.ErrUnknownOutcome) {
		t.Fatalf("append: %v, want ErrUnknownOutcome", err)
	}
	ls.SetFaults(logsvc.Faults{})
	if b, err := c.Read(context.Background(), "s", 0, 10); err != nil || len(b.Records) != 1 {
		t.Fatalf("read back %+v %v", b, err)
	}
}

// Scan must return all records of a stream longer than one page, once and in order.
func TestScanReadsAllPages(t *testing.T) {
	srv := logsvc.NewServer(0)
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	c := logservice.New(hs.URL, hs.Client())
	ctx := context.Background()
	const records = logsvc.MaxRead + 10
	for i := range records {
		if _, err := c.Append(ctx, "s", fmt.Append(nil, i)); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	next, err := c.Scan(ctx, "s", 3, func(int64) { t.Error("gap reported, but no record has expired") },
		func(r *logsvcpb.Record) { got = append(got, string(r.Data)) })
	if err != nil || next != records || len(got) != records-3 || got[0] != "3" || got[len(got)-1] != fmt.Sprint(records-1) {
		t.Errorf("%d records to %d, error %v", len(got), next, err)
	}
}
