package statestore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestReservesKeepTokensForImportantClasses checks that less important classes leave their
// reserve to more important ones when tokens run short, that lease calls always pass, and
// that waiting calls proceed once the buckets refill.
func TestReservesKeepTokensForImportantClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(10, 10)
		drawn := map[Class]int{}
		for _, class := range []Class{ClassOther, ClassStatusQuery, ClassRecord, ClassSubmit, ClassCancel} {
			for budget.tryTake(class, 1) {
				drawn[class]++
			}
		}
		if drawn[ClassOther] == 0 || drawn[ClassStatusQuery] == 0 {
			t.Errorf("call refused although the bucket was full: %v", drawn)
		}
		remaining, _ := budget.Available()
		if remaining < ClassCancel.reserve()*10 {
			t.Errorf("%v tokens left, below the reserve of ClassCancel", remaining)
		}
		if !budget.tryTake(ClassLease, 0) {
			t.Errorf("lease call refused")
		}

		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		if err := budget.Take(ctx, ClassOther, 1); err != nil || time.Since(start) > time.Second {
			t.Errorf("Take after the bucket emptied: %v after %v", err, time.Since(start))
		}
	})
}

// TestBudgetTakeStaysWithinRates checks that the calls made over 10 s stay within the rates plus
// one full bucket.
func TestBudgetTakeStaysWithinRates(t *testing.T) {
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
			t.Errorf("%d calls and %d writes in 10 s, want at most 550 and 220", calls, writes)
		}
		if writes < 150 {
			t.Errorf("%d writes in 10 s, want at least 150", writes)
		}
	})
}

// TestUsageByClass checks that requests, writes and waiting time are counted per class.
func TestUsageByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(10, 4)
		for range 2 {
			if err := budget.Take(t.Context(), ClassRecord, 3); err != nil {
				t.Fatal(err)
			}
		}
		if err := budget.Take(t.Context(), ClassStatusQuery, 0); err != nil {
			t.Fatal(err)
		}
		record, statusQuery := budget.Usage(ClassRecord), budget.Usage(ClassStatusQuery)
		if record.Requests != 2 || record.Writes != 6 || record.WaitSeconds <= 0 {
			t.Errorf("usage of ClassRecord: %+v, want 2 requests, 6 writes and some waiting time", record)
		}
		if statusQuery.Requests != 1 || statusQuery.Writes != 0 || statusQuery.WaitSeconds != 0 {
			t.Errorf("usage of ClassStatusQuery: %+v, want 1 request, no writes and no waiting time", statusQuery)
		}
	})
}
