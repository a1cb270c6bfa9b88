package leader

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/leader/staleness"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// TestCancelledTasksEndInTimeDuringOutage checks that tasks of cancelled jobs end in time
// although the state service refuses the leader, from time W of staleness.Limit on, while another
// node confirms cancellations. For any network delays, delays in the leader and clock drift, the
// last task must end within cancel_s of the first confirmation. Omitting any summand in
// staleness.Limit makes this test fail.
func TestCancelledTasksEndInTimeDuringOutage(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			scenario := newOutageScenario(t, seed)
			for time.Since(scenario.refusedAt) < scenario.cancelWithin {
				scenario.sendHeartbeat()
			}
			if gone, limit := scenario.lastTaskEnd(), scenario.cancelDeadline(); gone.After(limit) {
				t.Fatalf("seed %d: tasks ended %v too late", seed, gone.Sub(limit))
			}
			if scenario.acknowledged < 5 {
				t.Fatalf("seed %d: only %d heartbeats acknowledged, want at least 5", seed, scenario.acknowledged)
			}
		})
	}
}

// outageScenario is a leader that the state service refuses, and one worker that keeps sending
// heartbeats.
type outageScenario struct {
	l                   *Leader
	rng                 *rand.Rand
	timings             config.WorkerTimings
	lease, cancelWithin time.Duration
	refusedAt           time.Time // W in the comment of staleness.Limit
	confirmedAt         time.Time // when a cancellation was first confirmed to a user
	// renewedAt is when the last acknowledged heartbeat was sent. The worker's lease counts
	// from then.
	renewedAt    time.Time
	sequence     uint64
	acknowledged int
}

// newOutageScenario returns a scenario that starts now; the time of the first confirmation
// depends on the seed.
func newOutageScenario(t *testing.T, seed uint64) *outageScenario {
	t.Helper()
	s := &outageScenario{l: testLeader(t), rng: rand.New(rand.NewPCG(seed, 5)), refusedAt: time.Now()}
	s.timings = s.l.deps.Settings.Params.Workers
	s.lease, s.cancelWithin = config.Seconds(s.timings.LeaseS), config.Seconds(s.timings.CancelWithinS)
	s.l.staleness.RecordWatch(s.refusedAt)
	s.confirmedAt = s.refusedAt.Add(time.Duration(s.rng.IntN(2)) * s.randomBelow(2*time.Second))
	s.renewedAt = s.refusedAt
	return s
}

// randomBelow returns a random duration below limit.
func (s *outageScenario) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// sendHeartbeat waits for a while, then has the worker send a heartbeat and the leader answer
// it, each with random delays.
func (s *outageScenario) sendHeartbeat() {
	time.Sleep(s.pause())
	sent := time.Now()
	if s.rng.IntN(3) == 0 { // delayed in the network or in the leader's socket
		time.Sleep(s.randomBelow(3 * time.Second))
	}
	s.sequence++
	reply := make(chan Reply, 1)
	heartbeat := &workers.Heartbeat{Machine: "m-1", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: s.sequence, Token: s.l.term.number()}
	s.l.heartbeat(heartbeat, time.Now(), reply)
	if s.rng.IntN(3) == 0 { // the reply is delayed, too
		time.Sleep(s.randomBelow(2 * time.Second))
	}
	s.l.replies.nextFlush = time.Time{}
	s.l.flushReplies(time.Now().Add(constants.IdleReplyHold))
	if received := <-reply; received.Status == 200 {
		s.renewedAt = sent
		s.acknowledged++
	}
}

// pause returns how long the worker waits before its next heartbeat. The waits become very
// short just before the staleness limit is reached.
func (s *outageScenario) pause() time.Duration {
	pause := s.randomBelow(config.Seconds(s.timings.HeartbeatS) * 5 / 4)
	if remaining := staleness.Limit(s.timings) - time.Since(s.refusedAt); remaining > 0 && remaining < 3*time.Second {
		pause = min(pause, max(remaining/2, time.Millisecond))
	}
	return pause
}

// lastTaskEnd returns the latest time at which the worker, with a slow clock, has ended its
// tasks.
func (s *outageScenario) lastTaskEnd() time.Time {
	drift := time.Duration(float64(s.lease) * constants.ClockDrift)
	return s.renewedAt.Add(s.lease + drift + constants.WorkerKillDelay)
}

// cancelDeadline returns when the cancelled job's tasks must be gone, by a fast clock.
func (s *outageScenario) cancelDeadline() time.Time {
	drift := time.Duration(float64(s.cancelWithin) * constants.ClockDrift)
	return s.confirmedAt.Add(s.cancelWithin - drift)
}

// slowWatchStore is a state service whose watch answers after a delay.
type slowWatchStore struct {
	Store
	delay     time.Duration
	requested chan time.Time // receives the time of each request
}

func (s slowWatchStore) Watch(ctx context.Context, _ string, fromRevision uint64, _ time.Duration) (uint64, []statestore.Change, error) {
	s.requested <- time.Now()
	time.Sleep(s.delay)
	return fromRevision, nil, ctx.Err()
}

// TestKnownUntilWatchRequest checks that after a late answer to a watch request cancellations
// are known up to the time of the request, not of the answer.
func TestKnownUntilWatchRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeader(t)
		requested := make(chan time.Time, 10)
		l.deps.Store = slowWatchStore{delay: 3 * time.Second, requested: requested}
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = l.watchJobs(ctx, 1) }()
		for range 3 {
			requestedAt := <-requested
			(<-l.events).apply(l)
			if !l.staleness.WatchedUntil().Equal(requestedAt) || l.staleness.Staleness(requestedAt) != 0 {
				t.Errorf("requested at %v, but known until %v earlier", requestedAt, l.staleness.Staleness(requestedAt))
			}
		}
		stop()
		time.Sleep(4 * time.Second)
	})
}

// TestAttestedCancellations checks that after attestations by all nodes cancellations are known
// up to the request, and the jobs that they name are ended. A stale attestation has no effect.
func TestAttestedCancellations(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.staleness.RecordWatch(now.Add(-time.Minute))
	job := addJob(t, l, arraySpec("j-1", 1), now)
	l.applyAttestation([]string{"j-1"}, now.Add(-constants.AttestationMaxAge-time.Second), now)
	if job.removed || l.staleness.Staleness(now) < time.Minute {
		t.Errorf("stale attestation accepted: job removed %v, staleness %v", job.removed, l.staleness.Staleness(now))
	}
	askedAt := now.Add(-constants.AttestationMaxAge / 2)
	l.applyAttestation([]string{"j-1", "j-2"}, askedAt, now)
	if !job.removed || l.staleness.Staleness(askedAt) != 0 {
		t.Errorf("attestation not applied: job removed %v, staleness %v", job.removed, l.staleness.Staleness(now))
	}
	l.jobRecordDeleted("j-1", now) // the watch reports it later as well
	if len(l.jobs.removed) != 0 {
		t.Errorf("removed jobs are kept forever: %v", l.jobs.removed)
	}
}
