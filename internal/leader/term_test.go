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

// termStore answers for the term record alone.
type termStore struct {
	noStore
	revision uint64
	err      error
}

func (s *termStore) Get(context.Context, statestore.Class, string) (statestore.KeyValue, bool, error) {
	return statestore.KeyValue{Revision: s.revision}, s.err == nil, s.err
}

// cloudCalls counts calls to the cloud.
type cloudCalls struct{ rents, returns, lists int }

func (c *cloudCalls) Rent(context.Context, autoscaling.RentRequest) ([]string, error) {
	c.rents++
	return nil, autoscaling.ErrNoCapacity
}

func (c *cloudCalls) Return(context.Context, []string) error {
	c.returns++
	return nil
}

func (c *cloudCalls) List(context.Context, string) ([]autoscaling.Instance, string, error) {
	c.lists++
	return nil, "", nil
}

// TestTermEndsForItsFirstReason: what ends a term first is what it ended for, and callers
// match it with errors.Is.
func TestTermEndsForItsFirstReason(t *testing.T) {
	current := newTerm(election.Grant{Term: 3, Revision: 7})
	if current.ended() || current.err() != nil {
		t.Fatalf("a new term has ended: %v", current.err())
	}
	current.end(ErrTxnTooLarge)
	current.end(ErrDeposed)
	if err := fmt.Errorf("term 3: %w", current.err()); !errors.Is(err, ErrTxnTooLarge) || errors.Is(err, ErrDeposed) {
		t.Errorf("ended: %v", err)
	}
}

// TestTermEndsWithoutAttemptNumbers: with its last attempt number a term is over.
func TestTermEndsWithoutAttemptNumbers(t *testing.T) {
	current := newTerm(election.Grant{Term: 1 << constants.TermBits})
	current.attempts.used = 1<<constants.AttemptCounterBits - 2
	if number, ok := current.nextAttempt(); !ok || !current.ownsAttempt(number) {
		t.Fatalf("the last number: %d, %v", number, ok)
	}
	if number, ok := current.nextAttempt(); ok || !errors.Is(current.err(), ErrAttemptNumbersExhausted) {
		t.Errorf("one more: %d, ended %v", number, current.err())
	}
}

// TestTermIsVerifiedAfterEachStall: an answer verifies the term only if it was asked for
// after the last stall; one that shows another revision ends it.
func TestTermIsVerifiedAfterEachStall(t *testing.T) {
	start := time.Now()
	current := newTerm(election.Grant{Term: 3, Revision: 7})
	ours := statestore.KeyValue{Revision: 7}
	stallAt := func(now time.Time) {
		current.beginRound(now.Add(-constants.StallAfter - time.Second))
		if current.beginRound(now) == 0 || current.verified() {
			t.Fatal("a stall is not seen")
		}
	}

	stallAt(start)
	asked, ok := current.beginVerification()
	if !ok {
		t.Fatal("the term record is not asked for")
	}
	if _, again := current.beginVerification(); again {
		t.Error("it is asked for twice at a time")
	}
	stallAt(start.Add(time.Minute))
	if current.finishVerification(asked, ours, true, nil) || current.verified() {
		t.Error("an answer from before the stall verifies the term")
	}

	asked, _ = current.beginVerification()
	if current.finishVerification(asked, statestore.KeyValue{}, false, statestore.ErrUnavailable) || current.ended() {
		t.Errorf("no answer verifies or ends the term: %v", current.err())
	}
	asked, _ = current.beginVerification()
	if !current.finishVerification(asked, ours, true, nil) || !current.verified() {
		t.Error("the answer does not verify the term")
	}

	stallAt(start.Add(2 * time.Minute))
	asked, _ = current.beginVerification()
	if current.finishVerification(asked, statestore.KeyValue{Revision: 8}, true, nil) || !errors.Is(current.err(), ErrDeposed) {
		t.Errorf("another node's term: ended %v", current.err())
	}
}

// TestStoodStill: a leader whose process stood still for longer than a lease
// takes its own silence for nobody else's, and deals with the cloud only once
// the term record has shown that it still leads. Deposed, it ends.
func TestStoodStill(t *testing.T) {
	for _, deposed := range []bool{false, true} {
		t.Run(fmt.Sprint("deposed ", deposed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { stoodStill(t, deposed) })
		})
	}
}

func stoodStill(t *testing.T, deposed bool) {
	t.Helper()
	l := testLeader(t)
	store, cloud := &termStore{err: statestore.ErrUnavailable}, &cloudCalls{}
	l.deps.Store, l.deps.Cloud = store, cloud
	start := time.Now()
	for i := range 6 {
		addMachine(l, fmt.Sprint("m-", i), []string{"east", "west"}[i%2], start)
	}
	l.scaling.booting["m-9"] = bootingMachine{autoscaling.InstancePool{Type: "g4", Zone: "east"}, start, start}
	addJob(t, l, arraySpec("j-1", 40), start)

	now := standStill(t, l, l.lease+constants.SilentReturnAfter+time.Minute)
	l.tick(now)
	l.passes.request()
	l.runSchedulingPass(now)
	runUntilQuiet(t, l)
	checkNothingDecided(t, l, cloud, now)

	store.err, store.revision = nil, l.term.grant.Revision
	if deposed {
		store.revision++
	}
	l.scale(now)
	runUntilQuiet(t, l)
	if l.term.ended() != deposed {
		t.Fatalf("ended: %v", l.term.err())
	}
	if l.term.verified() == deposed {
		t.Fatalf("verified: %v", l.term.verified())
	}
	if names := l.machinesToReturn(now); len(names) > 0 {
		t.Errorf("%v returned as if they had had their time to come up", names)
	}
	if deposed {
		return
	}
	l.scale(now)
	runUntilQuiet(t, l)
	if cloud.lists+cloud.rents == 0 {
		t.Errorf("it never deals with the cloud again")
	}
}

// standStill has the leader find that it has stood still for so long, until now.
func standStill(t *testing.T, l *Leader, stall time.Duration) (now time.Time) {
	t.Helper()
	l.beginRound()
	l.term.lastRound = time.Now().Add(-stall)
	for machine := range l.fleet.all() {
		machine.agent.LastHeartbeat = machine.agent.LastHeartbeat.Add(-stall)
	}
	for name, b := range l.scaling.booting {
		b.rentedAt, b.learntAt = b.rentedAt.Add(-stall), b.learntAt.Add(-stall)
		l.scaling.booting[name] = b
	}
	now = l.beginRound()
	if l.term.verified() {
		t.Fatal("that it stood still was not seen")
	}
	return now
}

// checkNothingDecided fails if anything was decided on a state that is as old as the stall.
func checkNothingDecided(t *testing.T, l *Leader, cloud *cloudCalls, now time.Time) {
	t.Helper()
	if job := l.jobs.get("j-1"); len(job.attempts) > 0 {
		t.Errorf("%d tasks placed on an old world", len(job.attempts))
	}
	if *cloud != (cloudCalls{}) {
		t.Errorf("the cloud was called before the term was looked at: %+v", *cloud)
	}
	for name, machine := range l.fleet.byName {
		if machine.lifecycle.leaving {
			t.Errorf("%s is given up for silence that was ours", name)
		}
	}
	pool := autoscaling.InstancePool{Type: "g4", Zone: "east"}
	if snapshot := l.scalingSnapshot(now); snapshot.Machines[pool] != 4 {
		t.Errorf("machines are to be replaced for silence that was ours: %v", snapshot.Machines)
	}
}
