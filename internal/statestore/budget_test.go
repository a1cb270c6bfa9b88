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
		budget := NewBudget(10, 10)
		drawn := map[Class]int{}
		for _, class := range []Class{ClassOther, ClassPoll, ClassRecord, ClassSubmit, ClassCancel} {
			for budget.tryTake(class, 1) {
				drawn[class]++
			}
		}
		if drawn[ClassOther] == 0 || drawn[ClassPoll] == 0 {
			t.Errorf("a full bucket refuses: %v", drawn)
		}
		left, _ := budget.Available()
		if left < ClassCancel.reserve()*10 {
			t.Errorf("%v tokens left, below the reserve of the most important", left)
		}
		if !budget.tryTake(ClassLease, 0) {
			t.Errorf("a lease renewal was refused")
		}

		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		if err := budget.Take(ctx, ClassOther, 1); err != nil || time.Since(start) > time.Second {
			t.Errorf("tokens do not come back: %v after %v", err, time.Since(start))
		}
	})
}

// TestRateIsKept: over time no more goes out than the rate allows.
func TestRateIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(50, 20)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls, writes := 0, 0
		for budget.Take(ctx, ClassRecord, 3) == nil {
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
		budget := NewBudget(10, 4)
		for range 2 {
			if err := budget.Take(t.Context(), ClassRecord, 3); err != nil {
				t.Fatal(err)
			}
		}
		if err := budget.Take(t.Context(), ClassPoll, 0); err != nil {
			t.Fatal(err)
		}
		record, poll := budget.Usage(ClassRecord), budget.Usage(ClassPoll)
		if record.Requests != 2 || record.Writes != 6 || record.WaitSeconds <= 0 {
			t.Errorf("records have drawn %+v", record)
		}
		if poll.Requests != 1 || poll.Writes != 0 || poll.WaitSeconds != 0 {
			t.Errorf("polls have drawn %+v", poll)
		}
	})
}
