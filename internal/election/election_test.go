package election

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/statestore"
)

// simStore is the part of the state service that an election sees. Campaigns
// may be applied late, as the protocol allows.
type simStore struct {
	epoch uint64
	lead  LeaderRecord
	leadS uint64
	num   TermRecord
	numS  uint64
}

func (s *simStore) view() View {
	return View{Leader: s.lead, LeaderRevision: s.leadS, Term: s.num.Term, TermRevision: s.numS}
}

func (s *simStore) apply(when []statestore.Condition, writes []statestore.Write) bool {
	for _, c := range when {
		if c.Key == LeaderKey && c.Revision != s.leadS || c.Key == TermKey && c.Revision != s.numS {
			return false
		}
	}
	s.epoch++
	for _, w := range writes {
		switch w.Put {
		case LeaderKey:
			_ = json.Unmarshal(w.Value, &s.lead)
			s.leadS = s.epoch
		case TermKey:
			_ = json.Unmarshal(w.Value, &s.num)
			s.numS = s.epoch
		}
	}
	return true
}

// TestTermsOnlyRise lets nodes with views of any age campaign, their requests
// arriving late and in any order, with leases ending at any time: each term
// has one leader, terms only rise, and a leader whose term has passed can
// write nothing any more.
func TestTermsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simStore{}
		views := map[string]View{"a": {}, "b": {}, "c": {}}
		labels := []string{"a", "b", "c"}
		type request struct {
			who    string
			when   []statestore.Condition
			writes []statestore.Write
			term   uint64
		}
		var pending []request
		owner := map[uint64]string{}
		grants := map[uint64]uint64{} // stamp of each term's record
		var last uint64
		t.Repeat(map[string]func(*rapid.T){
			"look": func(t *rapid.T) { views[rapid.SampledFrom(labels).Draw(t, "who")] = s.view() },
			"campaign": func(t *rapid.T) {
				who := rapid.SampledFrom(labels).Draw(t, "who")
				if !views[who].MayCampaign(who) {
					t.Skip()
				}
				when, writes, n, err := views[who].Campaign(who, 1)
				if err != nil {
					t.Fatal(err)
				}
				pending = append(pending, request{who, when, writes, n})
			},
			"arrive": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "request")
				r := pending[i]
				if rapid.Bool().Draw(t, "once") {
					pending = append(pending[:i:i], pending[i+1:]...)
				}
				if !s.apply(r.when, r.writes) {
					return
				}
				if r.term <= last {
					t.Fatalf("term %d after %d", r.term, last)
				}
				if o := owner[r.term]; o != "" {
					t.Fatalf("term %d went to %s and %s", r.term, o, r.who)
				}
				last, owner[r.term], grants[r.term] = r.term, r.who, s.numS
			},
			"lease ends": func(t *rapid.T) {
				if s.leadS != 0 {
					s.epoch++
					s.lead, s.leadS = LeaderRecord{}, 0
				}
			},
			"": func(t *rapid.T) {
				for n, stamp := range grants {
					// A leader's write is conditioned on its term's record.
					if n != last && stamp == s.numS {
						t.Fatalf("the leader of term %d could still write in term %d", n, last)
					}
				}
			},
		})
	})
}

// lostStore grants one term, then loses the lease and raises the term.
type lostStore struct {
	Store
	raised bool
	gone   bool
}

func (s *lostStore) List(context.Context, statestore.Class, string) ([]statestore.KeyValue, uint64, error) {
	return nil, 1, nil
}
func (s *lostStore) GrantLease(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (s *lostStore) RevokeLease(context.Context, uint64) error                 { return nil }
func (s *lostStore) RenewLease(context.Context, uint64) error {
	if s.gone {
		return statestore.ErrLeaseExpired
	}
	return nil
}

func (s *lostStore) Txn(_ context.Context, _ statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error) {
	if len(writes) == 1 && s.raised {
		return 0, &statestore.ConflictError{FailedKeys: []string{TermKey}}
	}
	return 2, nil
}

// TestLostLease: a lease that ran out is taken anew while the term stands, and
// the lead ends once another node has raised it.
func TestLostLease(t *testing.T) {
	for _, raised := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { lostLease(t, raised) })
	}
}

func lostLease(t *testing.T, raised bool) {
	{
		s := &lostStore{raised: raised, gone: true}
		e := New("a", s, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		ended := make(chan bool, 1)
		err := e.round(ctx, func(ctx context.Context, g Grant) error {
			if g.Term != 1 || g.Revision != 2 {
				t.Errorf("grant %+v", g)
			}
			select {
			case <-ctx.Done():
				ended <- context.Cause(ctx) != context.DeadlineExceeded
			case <-time.After(1500 * time.Millisecond):
				ended <- false
			}
			return ctx.Err()
		})
		cancel()
		if got := <-ended; got != raised {
			t.Errorf("raised %v: the lead was lost: %v (%v)", raised, got, err)
		}
	}
}
