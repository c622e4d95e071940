package progress

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

const idle = 600 * time.Millisecond

// Guards against a transfer that ends although its data keeps arriving, or that does not end
// although its data has stopped.
func TestCallLastsAsLongAsDataArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := WithTimeout(t.Context(), idle)
		defer cancelOuter()
		ctx, cancel := WithTimeout(outer, idle/2)
		defer cancel()
		in, out := io.Pipe()
		go func() {
			for range 10 {
				time.Sleep(idle / 3)
				_, _ = out.Write([]byte("x"))
			}
		}()
		if _, err := io.ReadFull(Reader(ctx, in), make([]byte, 10)); err != nil || ctx.Err() != nil || outer.Err() != nil {
			t.Fatalf("read: %v; contexts: %v, %v", err, ctx.Err(), outer.Err())
		}
		start := time.Now()
		<-ctx.Done()
		if got := time.Since(start); got != idle/2 || outer.Err() != nil {
			t.Errorf("the context ended %v after the last data, want %v; the outer one: %v", got, idle/2, outer.Err())
		}
		<-outer.Done()
		if got := time.Since(start); got != idle {
			t.Errorf("the outer context ended %v after the last data, want %v", got, idle)
		}
	})
}

// Guards against a call that a peer keeps open for ever with single bytes.
func TestCallEndsAfterMaxDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithTimeout(context.Background(), idle)
		defer cancel()
		start := time.Now()
		for ctx.Err() == nil {
			ctx.Value(watchKey{}).(*watch).arrived()
			time.Sleep(idle / 2)
		}
		if got := time.Since(start); got > MaxDuration+idle {
			t.Errorf("the context ended after %v, want %v", got, MaxDuration)
		}
	})
}
