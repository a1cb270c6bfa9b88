package leader

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/statestore"
)

// termStore is a state service that serves only the term record.
type termStore struct {
	unavailableStore
	revision uint64
	err      error
}

func (s *termStore) Get(context.Context, statestore.Class, string) (statestore.KeyValue, bool, error) {
	return statestore.KeyValue{Revision: s.revision}, s.err == nil, s.err
}

// countingCloud is a cloud client that counts its calls.
type countingCloud struct{ rents, returns, lists int }

func (c *countingCloud) Rent(context.Context, autoscaling.RentRequest) ([]string, error) {
	c.rents++
	return nil, autoscaling.ErrNoCapacity
}

func (c *countingCloud) Return(context.Context, []string) error {
	c.returns++
	return nil
}

func (c *countingCloud) List(context.Context, string) ([]autoscaling.Instance, string, error) {
	c.lists++
	return nil, "", nil
}

// TestFirstEndReasonWins checks that a term ends with the first reason given, which callers
// can match with errors.Is.
func TestFirstEndReasonWins(t *testing.T) {
	current := newTerm(election.Grant{Term: 3, Revision: 7})
	if current.ended() || current.err() != nil {
		t.Fatalf("a new term has already ended: %v", current.err())
	}
	current.end(ErrTxnTooLarge)
	current.end(ErrDeposed)
	if err := fmt.Errorf("term 3: %w", current.err()); !errors.Is(err, ErrTxnTooLarge) || errors.Is(err, ErrDeposed) {
		t.Errorf("term ended: %v", err)
	}
}

// TestTermEndsWhenAttemptNumbersRunOut checks that a term ends when it has no attempt numbers
// left.
func TestTermEndsWhenAttemptNumbersRunOut(t *testing.T) {
	current := newTerm(election.Grant{Term: 1 << constants.TermBits})
	current.numbers.used = 1<<constants.AttemptCounterBits - 2
	if number, ok := current.nextAttempt(); !ok || !current.ownsAttempt(number) {
		t.Fatalf("last attempt number: %d, ok %v", number, ok)
	}
	if number, ok := current.nextAttempt(); ok || !errors.Is(current.err(), ErrAttemptNumbersExhausted) {
		t.Errorf("number after the last: %d, term ended: %v", number, current.err())
	}
}

// TestTermIsVerifiedAfterEachStall checks that an answer verifies the term only if it was
// requested after the last stall. An answer with another revision ends the term.
func TestTermIsVerifiedAfterEachStall(t *testing.T) {
	start := time.Now()
	current := newTerm(election.Grant{Term: 3, Revision: 7})
	ownRecord := statestore.KeyValue{Revision: 7}
	stallAt := func(now time.Time) {
		current.beginIteration(now.Add(-constants.StallAfter - time.Second))
		if current.beginIteration(now) == 0 || current.verified() {
			t.Fatal("stall not detected")
		}
	}

	stallAt(start)
	resumedAt, ok := current.beginVerification()
	if !ok {
		t.Fatal("verification does not start")
	}
	if _, again := current.beginVerification(); again {
		t.Error("second verification starts while one is in flight")
	}
	stallAt(start.Add(time.Minute))
	if current.finishVerification(resumedAt, ownRecord, true, nil) || current.verified() {
		t.Error("an answer requested before the stall verifies the term")
	}

	resumedAt, _ = current.beginVerification()
	if current.finishVerification(resumedAt, statestore.KeyValue{}, false, statestore.ErrUnavailable) || current.ended() {
		t.Errorf("a failed request verifies or ends the term: %v", current.err())
	}
	resumedAt, _ = current.beginVerification()
	if !current.finishVerification(resumedAt, ownRecord, true, nil) || !current.verified() {
		t.Error("the answer does not verify the term")
	}

	stallAt(start.Add(2 * time.Minute))
	resumedAt, _ = current.beginVerification()
	if current.finishVerification(resumedAt, statestore.KeyValue{Revision: 8}, true, nil) || !errors.Is(current.err(), ErrDeposed) {
		t.Errorf("record of another node's term: term ended: %v", current.err())
	}
}

// TestStalledLeaderWaitsForVerification checks that a leader whose process stalled for longer
// than a lease does not treat the machines as silent, and does not call the cloud until the
// term record has shown that it still leads. If it was deposed, its term ends.
func TestStalledLeaderWaitsForVerification(t *testing.T) {
	for _, deposed := range []bool{false, true} {
		t.Run(fmt.Sprint("deposed ", deposed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStalledLeader(t, deposed) })
		})
	}
}

func testStalledLeader(t *testing.T, deposed bool) {
	t.Helper()
	l := testLeader(t)
	store, cloud := &termStore{err: statestore.ErrUnavailable}, &countingCloud{}
	l.deps.Store, l.deps.Cloud = store, cloud
	start := time.Now()
	for i := range 6 {
		addMachine(l, fmt.Sprint("m-", i), []string{"east", "west"}[i%2], start)
	}
	l.scaling.booting["m-9"] = bootingMachine{autoscaling.InstancePool{Type: "g4", Zone: "east"}, start, start}
	addJob(t, l, arraySpec("j-1", 40), start)

	now := simulateStall(t, l, l.lease+constants.SilentReturnAfter+time.Minute)
	l.tick(now)
	l.passes.request()
	l.runSchedulingPass(now)
	runUntilIdle(t, l)
	checkNothingDecided(t, l, cloud, now)

	store.err, store.revision = nil, l.term.grant.Revision
	if deposed {
		store.revision++
	}
	l.scale(now)
	runUntilIdle(t, l)
	if l.term.ended() != deposed {
		t.Fatalf("term ended: %v", l.term.err())
	}
	if l.term.verified() == deposed {
		t.Fatalf("term verified: %v", l.term.verified())
	}
	if names := l.machinesToReturn(now); len(names) > 0 {
		t.Errorf("%v returned before they had time to boot", names)
	}
	if deposed {
		return
	}
	l.scale(now)
	runUntilIdle(t, l)
	if cloud.lists+cloud.rents == 0 {
		t.Errorf("the cloud is not called after verification")
	}
}

// simulateStall makes the leader detect a stall of this length that ends now.
func simulateStall(t *testing.T, l *Leader, stall time.Duration) (now time.Time) {
	t.Helper()
	l.beginIteration()
	l.term.lastIteration = time.Now().Add(-stall)
	for machine := range l.fleet.all() {
		machine.worker.LastMessageAt = machine.worker.LastMessageAt.Add(-stall)
	}
	for name, b := range l.scaling.booting {
		b.rentedAt, b.firstSeenAt = b.rentedAt.Add(-stall), b.firstSeenAt.Add(-stall)
		l.scaling.booting[name] = b
	}
	now = l.beginIteration()
	if l.term.verified() {
		t.Fatal("stall not detected")
	}
	return now
}

// checkNothingDecided fails if any decision was based on the state from before the stall.
func checkNothingDecided(t *testing.T, l *Leader, cloud *countingCloud, now time.Time) {
	t.Helper()
	if job := l.jobs.get("j-1"); len(job.attempts) > 0 {
		t.Errorf("%d tasks placed using stale state", len(job.attempts))
	}
	if *cloud != (countingCloud{}) {
		t.Errorf("the cloud was called before the term was verified: %+v", *cloud)
	}
	for name, machine := range l.fleet.byName {
		if machine.lifecycle.leaving {
			t.Errorf("%s is being returned for silence during the stall", name)
		}
	}
	pool := autoscaling.InstancePool{Type: "g4", Zone: "east"}
	if snapshot := l.scalingSnapshot(now); snapshot.Machines[pool] != 4 {
		t.Errorf("machines not counted because of silence during the stall: %v", snapshot.Machines)
	}
}
