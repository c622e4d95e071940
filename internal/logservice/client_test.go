package logservice_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/standin/logsvc"
)

// Two operators publish from the same base at once. The caller of the
// second append sees ErrConflict naming the offset that won, and the
// stream holds exactly one record at that offset: the first one's.
func TestRacingAppendsOneWins(t *testing.T) {
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

// The log's answer is lost after the write took effect: the caller gets
// ErrUnknownOutcome (never "not written"), and reading back finds it.
func TestLostAnswerIsUnknownNotFailed(t *testing.T) {
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
