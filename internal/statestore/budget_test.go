package statestore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestImportantCallsFirst: when tokens run short, unimportant calls leave the
// last ones to important calls, and the lease is always renewed.
func TestImportantCallsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(10, 10)
		drawn := map[Class]int{}
		for _, c := range []Class{ClassOther, ClassPoll, ClassRecord, ClassSubmit, ClassCancel} {
			for b.try(c, 1) {
				drawn[c]++
			}
		}
		if drawn[ClassOther] == 0 || drawn[ClassPoll] == 0 {
			t.Errorf("a full bucket refuses: %v", drawn)
		}
		left, _ := b.Available()
		if left < ClassCancel.reserve()*10 {
			t.Errorf("%v tokens left, below the reserve of the most important", left)
		}
		if !b.try(ClassLease, 0) {
			t.Errorf("a lease renewal was refused")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		if err := b.Take(ctx, ClassOther, 1); err != nil || time.Since(start) > time.Second {
			t.Errorf("tokens do not come back: %v after %v", err, time.Since(start))
		}
	})
}

// TestRateIsKept: over time no more goes out than the rate allows.
func TestRateIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(50, 20)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls, writes := 0, 0
		for b.Take(ctx, ClassRecord, 3) == nil {
			calls++
			writes += 3
		}
		if writes > 20*10+20 || calls > 50*10+50 {
			t.Errorf("%d calls and %d writes in 10 s", calls, writes)
		}
		if writes < 150 {
			t.Errorf("only %d writes in 10 s", writes)
		}
	})
}

// TestDrawnByClass: what is drawn and waited for is counted by class.
func TestDrawnByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(10, 4)
		for range 2 {
			if err := b.Take(t.Context(), ClassRecord, 3); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.Take(t.Context(), ClassPoll, 0); err != nil {
			t.Fatal(err)
		}
		r, p := b.Usage(ClassRecord), b.Usage(ClassPoll)
		if r.Requests != 2 || r.Writes != 6 || r.WaitSeconds <= 0 || p.Requests != 1 || p.Writes != 0 || p.WaitSeconds != 0 {
			t.Errorf("record %+v, poll %+v", r, p)
		}
	})
}
