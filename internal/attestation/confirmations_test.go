package attestation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// process is a node's process in the model. Its clock runs apart from true time.
type process struct {
	memory *CancellationLog
	rate   float64
	born   time.Time // by the true clock
	base   time.Time // its own clock then
}

func (p *process) clock(at time.Time) time.Time {
	return p.base.Add(time.Duration(float64(at.Sub(p.born)) * p.rate))
}

// TestVouchedIsComplete: nodes tell users of cancellations, end and begin anew,
// answer a leader late or never, by clocks that run apart. Whatever time a leader
// takes to be certain up to, it knows of every cancellation that a user was told of
// before: from its watch, or because a node named it. Each condition of the
// argument, taken out, makes this fail.
func TestVouchedIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		now := time.Unix(5000, 0)
		begin := func() *process {
			p := &process{rate: 1 + rapid.Float64Range(-0.0005, 0.0005).Draw(t, "drift"), born: now, base: now.Add(time.Hour)}
			p.memory = NewCancellationLog(4, p.base)
			return p
		}
		var at [nodes]*process
		for i := range at {
			at[i] = begin()
		}
		leader := at[0] // and its clock
		watched, sure := now, now
		type told struct {
			id string
			at time.Time
		}
		var users []told
		known := map[string]bool{}
		next := 0
		cancel := func() {
			// The record stands; a node notes it, and a while later tells a user.
			p := at[rapid.IntRange(0, nodes-1).Draw(t, "by")]
			id := fmt.Sprint("j-", next)
			next++
			p.memory.Add(id, p.clock(now))
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "answering")) * time.Millisecond)
			users = append(users, told{id, now})
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "long outage") == 0 {
				now = now.Add(3 * time.Hour) // what clocks run apart adds up
			}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				cancel()
			case 3:
				if i := rapid.IntRange(1, nodes-1).Draw(t, "who ends"); true {
					at[i] = begin()
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "watch answers") == 0 {
					// All that was recorded before the question is told.
					watched = now
					if watched.After(sure) {
						sure = watched
					}
					for _, u := range users {
						known[u.id] = true
					}
				}
			default:
				asked := now
				span := Window(leader.clock(asked), leader.clock(watched))
				var words []Attestation
				for i := range rapid.IntRange(nodes-1, nodes).Draw(t, "asked of") {
					// Cancellations go on while the question is under way.
					now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 40, 400, 1400, 6000}).Draw(t, "way")) * time.Millisecond)
					if rapid.IntRange(0, 3).Draw(t, "meanwhile") == 0 {
						cancel()
					}
					w := Attestation{}
					w.Cancelled, w.Complete = at[i].memory.Since(span, at[i].clock(now))
					if rapid.IntRange(0, 9).Draw(t, "answer") == 0 {
						w = Attestation{} // lost
					}
					words = append(words, w)
				}
				if ids, ok := Merge(words, nodes); ok && !AnsweredTooLate(leader.clock(asked), leader.clock(now)) {
					for _, id := range ids {
						known[id] = true
					}
					if asked.After(sure) {
						sure = asked
					}
				}
			}
			for _, u := range users {
				if u.at.Before(sure) && !known[u.id] {
					t.Fatalf("sure up to %v, but %s, told at %v, is not known", sure, u.id, u.at)
				}
			}
		}
	})
}

// TestMemorySaysWhatItForgets: a process vouches for no time that it does not
// remember.
func TestMemorySaysWhatItForgets(t *testing.T) {
	t0 := time.Unix(1000, 0)
	m := NewCancellationLog(4, t0)
	if _, ok := m.Since(time.Second, t0); ok {
		t.Error("a new process vouches for the time before it began")
	}
	for i := range 5 {
		m.Add(fmt.Sprint(i), t0.Add(time.Duration(1+i)*time.Second))
	}
	now := t0.Add(10 * time.Second)
	if _, ok := m.Since(9500*time.Millisecond, now); ok {
		t.Error("it vouches for a time that it has forgotten")
	}
	if ids, ok := m.Since(8500*time.Millisecond, now); !ok || !slices.Equal(ids, []string{"4", "3", "2", "1"}) {
		t.Errorf("%v %v", ids, ok)
	}
}
