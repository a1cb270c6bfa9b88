package leader

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/leader/certainty"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// TestGapBound: the state service refuses a leader at W, and from then on another
// node confirms cancellations. Whatever the heartbeats' ways take, however late the
// leader gets to look at them, and by whichever clocks, the tasks are off the last
// machine within cancel_s of the first confirmation. Leaving out any term of
// certainty.Window makes this fail.
func TestGapBound(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			gap := newGap(t, seed)
			for time.Since(gap.refusedAt) < gap.cancel {
				gap.sendHeartbeat()
			}
			if gone, limit := gap.lastTaskGone(), gap.promised(); gone.After(limit) {
				t.Fatalf("seed %d: gone %v too late", seed, gone.Sub(limit))
			}
			if gap.acknowledged < 5 {
				t.Fatalf("seed %d: %d heartbeats acknowledged", seed, gap.acknowledged)
			}
		})
	}
}

// gap is a leader that the state service refuses, with one worker that goes on reporting.
type gap struct {
	l             *Leader
	rng           *rand.Rand
	timings       config.WorkerTimings
	lease, cancel time.Duration
	refusedAt     time.Time // W
	confirmedAt   time.Time // when a user was first told of a cancellation
	// renewedAt is when the last heartbeat was sent that was acknowledged: the worker's
	// lease counts from then.
	renewedAt    time.Time
	sequence     uint64
	acknowledged int
}

func newGap(t *testing.T, seed uint64) *gap {
	t.Helper()
	g := &gap{l: testLeader(t), rng: rand.New(rand.NewPCG(seed, 5)), refusedAt: time.Now()}
	g.timings = g.l.deps.Settings.Params.Workers
	g.lease, g.cancel = config.Seconds(g.timings.LeaseS), config.Seconds(g.timings.CancelWithinS)
	g.l.certainty.Watched(g.refusedAt)
	g.confirmedAt = g.refusedAt.Add(time.Duration(g.rng.IntN(2)) * g.upTo(2*time.Second))
	g.renewedAt = g.refusedAt
	return g
}

// upTo draws a duration below the limit.
func (g *gap) upTo(limit time.Duration) time.Duration {
	return time.Duration(g.rng.Int64N(int64(limit)))
}

// sendHeartbeat waits for a while, and has the worker send a heartbeat and the leader answer
// it, each with the delays that can come about.
func (g *gap) sendHeartbeat() {
	time.Sleep(g.pause())
	sent := time.Now()
	if g.rng.IntN(3) == 0 { // held back on its way, or in the leader's own socket
		time.Sleep(g.upTo(3 * time.Second))
	}
	g.sequence++
	reply := make(chan Reply, 1)
	heartbeat := &workers.Heartbeat{Machine: "m-1", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: g.sequence, Token: g.l.term.number()}
	g.l.heartbeat(heartbeat, time.Now(), reply)
	if g.rng.IntN(3) == 0 { // the reply is held back, too
		time.Sleep(g.upTo(2 * time.Second))
	}
	g.l.replies.nextFlush = time.Time{}
	g.l.flushReplies(time.Now().Add(constants.IdleReplyHold))
	if answer := <-reply; answer.Status == 200 {
		g.renewedAt = sent
		g.acknowledged++
	}
}

// pause is how long the worker waits before its next heartbeat. Just before the bound they
// come thick and fast.
func (g *gap) pause() time.Duration {
	pause := g.upTo(config.Seconds(g.timings.HeartbeatS) * 5 / 4)
	if left := certainty.Window(g.timings) - time.Since(g.refusedAt); left > 0 && left < 3*time.Second {
		pause = min(pause, max(left/2, time.Millisecond))
	}
	return pause
}

// lastTaskGone is when the worker has ended its tasks at the latest, by a slow clock.
func (g *gap) lastTaskGone() time.Time {
	drift := time.Duration(float64(g.lease) * constants.ClockDrift)
	return g.renewedAt.Add(g.lease + drift + constants.WorkerKillDelay)
}

// promised is when the cancelled job's tasks must be gone, by a fast clock.
func (g *gap) promised() time.Time {
	drift := time.Duration(float64(g.cancel) * constants.ClockDrift)
	return g.confirmedAt.Add(g.cancel - drift)
}

// slowWatch is a state service whose watch answers after a while.
type slowWatch struct {
	Store
	takes time.Duration
	asked chan time.Time
}

func (s slowWatch) Watch(ctx context.Context, _ string, from uint64, _ time.Duration) (uint64, []statestore.Change, error) {
	s.asked <- time.Now()
	time.Sleep(s.takes)
	return from, nil, ctx.Err()
}

// TestWatchProvesWhatWasBeforeTheQuestion: an answer that was long on its way
// proves nothing of what happened meanwhile.
func TestWatchProvesWhatWasBeforeTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeader(t)
		asked := make(chan time.Time, 10)
		l.deps.Store = slowWatch{takes: 3 * time.Second, asked: asked}
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = l.watchJobs(ctx, 1) }()
		for range 3 {
			first := <-asked
			(<-l.events).apply(l)
			if !l.certainty.WatchedUntil().Equal(first) || l.certainty.SinceProof(first) != 0 {
				t.Errorf("asked at %v, certain up to %v before", first, l.certainty.SinceProof(first))
			}
		}
		stop()
		time.Sleep(4 * time.Second)
	})
}

// TestAttestedCancellations: what all nodes attest to makes the leader certain up to
// when it asked, and ends what they name; a stale answer proves nothing.
func TestAttestedCancellations(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.certainty.Watched(now.Add(-time.Minute))
	job := addJob(t, l, arraySpec("j-1", 1), now)
	l.applyAttestation([]string{"j-1"}, now.Add(-constants.AttestationMaxAge-time.Second), now)
	if job.removed || l.certainty.SinceProof(now) < time.Minute {
		t.Errorf("a stale attestation is taken: removed %v, proof %v ago", job.removed, l.certainty.SinceProof(now))
	}
	asked := now.Add(-constants.AttestationMaxAge / 2)
	l.applyAttestation([]string{"j-1", "j-2"}, asked, now)
	if !job.removed || l.certainty.SinceProof(asked) != 0 {
		t.Errorf("removed %v, proof %v ago", job.removed, l.certainty.SinceProof(now))
	}
	l.jobRecordDeleted("j-1", now) // the watch tells it too, later
	if len(l.jobs.removed) != 0 {
		t.Errorf("remembered for ever: %v", l.jobs.removed)
	}
}
