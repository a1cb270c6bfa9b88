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
// node confirms cancellations. Whatever the reports' ways take, however late the
// leader gets to look at them, and by whichever clocks, the tasks are off the last
// machine within cancel_s of the first confirmation. Leaving out any term of
// certainty.Window makes this fail.
func TestGapBound(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			l := testLeader(t)
			w := l.deps.Settings.Params.Workers
			lease, cancel := config.Seconds(w.LeaseS), config.Seconds(w.CancelWithinS)
			start := time.Now()
			l.certainty.Watched(start)
			told := start.Add(time.Duration(rng.IntN(2)) * time.Duration(rng.Int64N(int64(2*time.Second))))
			renewed, answers := start, 0
			for tick := uint64(1); time.Since(start) < cancel; tick++ {
				pause := time.Duration(rng.Int64N(int64(config.Seconds(w.HeartbeatS) * 5 / 4)))
				// Just before the bound reports come thick and fast.
				if left := certainty.Window(w) - time.Since(start); left > 0 && left < 3*time.Second {
					pause = min(pause, max(left/2, time.Millisecond))
				}
				time.Sleep(pause)
				sent := time.Now()
				if rng.IntN(3) == 0 { // held back on its way, or in the leader's own socket
					time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
				}
				ch := make(chan Reply, 1)
				l.heartbeat(&workers.Heartbeat{Machine: "m-1", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: tick, Token: l.term.number()}, time.Now(), ch)
				if rng.IntN(3) == 0 { // the answer is held back, too
					time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
				}
				l.replies.nextFlush = time.Time{}
				l.flushReplies(time.Now().Add(constants.IdleReplyHold))
				if a := <-ch; a.Status == 200 {
					renewed = sent
					answers++
				}
			}
			slow := func(d time.Duration) time.Duration { return d + time.Duration(float64(d)*constants.ClockDrift) }
			fast := func(d time.Duration) time.Duration { return d - time.Duration(float64(d)*constants.ClockDrift) }
			gone := renewed.Add(slow(lease) + constants.WorkerKillDelay)
			if limit := told.Add(fast(cancel)); gone.After(limit) {
				t.Fatalf("seed %d: gone %v too late", seed, gone.Sub(limit))
			}
			if answers < 5 {
				t.Fatalf("seed %d: %d reports answered", seed, answers)
			}
		})
	}
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

// TestVouchedCancellations: what all nodes vouch for makes the leader certain up to
// when it asked, and ends what they name; what came too late proves nothing.
func TestVouchedCancellations(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.certainty.Watched(now.Add(-time.Minute))
	j := addJob(t, l, arraySpec("j-1", 1), now)
	l.applyAttestation([]string{"j-1"}, now.Add(-constants.AttestationMaxAge-time.Second), now)
	if j.removed || l.certainty.SinceProof(now) < time.Minute {
		t.Errorf("late words are taken: gone %v, sure %v", j.removed, l.certainty.SinceProof(now))
	}
	asked := now.Add(-constants.AttestationMaxAge / 2)
	l.applyAttestation([]string{"j-1", "j-2"}, asked, now)
	if !j.removed || l.certainty.SinceProof(asked) != 0 {
		t.Errorf("gone %v, sure %v", j.removed, l.certainty.SinceProof(now))
	}
	l.jobRecordDeleted("j-1", now) // the watch tells it too, later
	if len(l.jobs.removed) != 0 {
		t.Errorf("remembered for ever: %v", l.jobs.removed)
	}
}
