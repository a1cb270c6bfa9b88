package userapi

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// TestMirrorNeverGoesBack: jobs open and go; two readers bring the same changes,
// overlapping and in any order, and single reads bring older records late. Once a
// reader has brought all changes up to a moment, the mirror holds just the jobs that
// were open then: none that has gone, none missing.
func TestMirrorNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMirror()
		epoch := uint64(1)
		open := map[string]uint64{}
		var log []statestore.Change
		var read []statestore.Change // what single reads found, to be taken in late
		m.replace(nil, epoch)
		type answer struct {
			from, to uint64
			log      []statestore.Change
		}
		var under []answer
		since := func(from uint64) (out []statestore.Change) {
			for _, c := range log {
				if c.Revision > from {
					out = append(out, c)
				}
			}
			return out
		}
		n := 0
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				epoch++
				id := fmt.Sprint("j-", n)
				n++
				open[id] = epoch
				c := statestore.Change{Put: jobs.OpenPrefix + id, Value: []byte(`{}`), Revision: epoch}
				log, read = append(log, c), append(read, c)
			case 2:
				for id := range open {
					epoch++
					delete(open, id)
					log = append(log, statestore.Change{Delete: jobs.OpenPrefix + id, Revision: epoch})
					break
				}
			case 3:
				from := m.at()
				under = append(under, answer{from, epoch, since(from)})
			case 4:
				if len(read) > 0 {
					c := read[rapid.IntRange(0, len(read)-1).Draw(t, "read")]
					m.learn(c.Put[len(jobs.OpenPrefix):], c.Revision, jobs.Dependencies{})
				}
			case 5:
				if len(under) > 0 {
					i := rapid.IntRange(0, len(under)-1).Draw(t, "answer")
					if !m.apply(under[i].log, under[i].from, under[i].to) {
						t.Fatal("a gap where there is none")
					}
					under = append(under[:i:i], under[i+1:]...)
				}
			}
		}
		if !m.apply(since(m.at()), m.at(), epoch) {
			t.Fatal("a gap where there is none")
		}
		for id, stamp := range open {
			if m.known(id) != stamp {
				t.Errorf("%s is missing", id)
			}
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if len(m.open) != len(open) {
			t.Errorf("%d jobs for %d", len(m.open), len(open))
		}
	})
}

// racing is a state service during whose transactions something else happens.
type racing struct {
	*memory
	ahead, after func()
}

func (r racing) Txn(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error) {
	r.ahead()
	defer r.after()
	return r.memory.Txn(ctx, class, when, writes)
}

// TestOwnRecordProvesNothingOfAWaitingJob guards against an own day of an upgrade: a
// job was called pending after another node had called it cancelled with one before
// it. The poll came while its node did not know the job, so it was taken for one whose
// own record proves its state; then the node came to know it. Whenever that is, a job
// that waits is not told of by its own record alone; one that does not is.
func TestOwnRecordProvesNothingOfAWaitingJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := racing{memory: &memory{rows: map[string]statestore.KeyValue{"open/j-2": {Key: "open/j-2", Value: []byte(`{}`), Revision: 9}}, stamp: 10}}
		s, err := NewServer(store, nil, config.StateLimits{TxnOps: 12, ValueKB: 16}, 4, nil, allRunning, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		s.mirror.replace(nil, 5)
		needs := jobs.Dependencies{DependsOn: []string{"j-9"}}
		if rapid.Bool().Draw(t, "free") {
			needs = jobs.Dependencies{}
		}
		comes := rapid.SampledFrom([]string{"before", "during", "after", "never"}).Draw(t, "comes")
		recorded := false
		arrive := func(when string) func() {
			return func() {
				if when == comes && !recorded {
					recorded = true
					store.rows["open/j-1"] = statestore.KeyValue{Key: "open/j-1", Value: []byte(`{}`), Revision: 11}
					s.mirror.learn("j-1", 11, needs)
				}
			}
		}
		arrive("before")()
		store.ahead, store.after = arrive("during"), arrive("after")
		s.store = store
		// The second one clashes, as this node does not know it: what is left is asked
		// again.
		batch := []ask{{id: "j-1", ctx: t.Context(), answer: make(chan answer, 1)}, {id: "j-2", ctx: t.Context(), answer: make(chan answer, 1)}}
		rest := s.proveBatch(t.Context(), batch)
		told, left := len(batch[0].answer) > 0, false
		for _, a := range rest {
			left = left || a.id == "j-1"
		}
		if told == left {
			t.Fatalf("%s: told %v, left to be read %v", comes, told, left)
		}
		// Unknown all the time it is nobody's; waiting for nothing its record proves it.
		// That it came while it was compared clashes.
		if want := comes == "never" || needs.Empty() && comes != "during"; told != want {
			t.Fatalf("%s, waits for nothing %v: told %v", comes, needs.Empty(), told)
		}
	})
}
