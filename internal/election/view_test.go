package election

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
	"thornnotch/internal/wirejson/wirejsontest"
)

// TestTermsOnlyIncrease lets nodes campaign with views of any age, delivers their requests
// late and in any order, and lets leases expire at any time. Each term must have one leader,
// terms must only increase, and the leader of a past term must not be able to write.
func TestTermsOnlyIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newElectionRun()
		t.Repeat(map[string]func(*rapid.T){
			"view read":        r.readRecords,
			"campaign sent":    r.sendCampaign,
			"campaign arrives": r.deliverCampaign,
			"lease expires":    r.expireLease,
			"":                 r.checkPastTermsCannotWrite,
		})
	})
}

// modelStore models the part of the state service that an election uses.
type modelStore struct {
	revision       uint64
	leader         LeaderRecord
	leaderRevision uint64
	term           TermRecord
	termRevision   uint64
}

func (s *modelStore) view() View {
	return View{Leader: s.leader, LeaderRevision: s.leaderRevision, Term: s.term.Term, TermRevision: s.termRevision}
}

// commit executes a campaign and reports whether its conditions held.
func (s *modelStore) commit(t *rapid.T, campaign Campaign) bool {
	t.Helper()
	for _, condition := range campaign.Conditions {
		if condition.Revision != s.revisionOf(t, condition.Key) {
			return false
		}
	}
	s.revision++
	for _, write := range campaign.Writes {
		s.put(t, write)
	}
	return true
}

func (s *modelStore) revisionOf(t *rapid.T, key string) uint64 {
	t.Helper()
	switch key {
	case LeaderKey:
		return s.leaderRevision
	case TermKey:
		return s.termRevision
	}
	t.Fatalf("unknown key %s", key)
	return 0
}

func (s *modelStore) put(t *rapid.T, write statestore.Write) {
	t.Helper()
	var err error
	switch write.Put {
	case LeaderKey:
		err, s.leaderRevision = wirejson.Decode(write.Value, &s.leader), s.revision
	case TermKey:
		err, s.termRevision = wirejson.Decode(write.Value, &s.term), s.revision
	default:
		t.Fatalf("unknown key %s", write.Put)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// electionRun is one generated history.
type electionRun struct {
	store *modelStore
	nodes []string
	// views are the nodes' views, which may be out of date.
	views map[string]View
	// sent are campaigns that may still be delivered, once or several times.
	sent []sentCampaign
	// newest is the newest term; winners and termRevisions are indexed by term.
	newest        uint64
	winners       map[uint64]string
	termRevisions map[uint64]uint64
}

type sentCampaign struct {
	node string
	Campaign
}

func newElectionRun() *electionRun {
	return &electionRun{
		store: &modelStore{}, nodes: []string{"a", "b", "c"},
		views:   map[string]View{"a": {}, "b": {}, "c": {}},
		winners: map[uint64]string{}, termRevisions: map[uint64]uint64{},
	}
}

func (r *electionRun) drawNode(t *rapid.T) string {
	return rapid.SampledFrom(r.nodes).Draw(t, "node")
}

// readRecords has a node read the election records.
func (r *electionRun) readRecords(t *rapid.T) { r.views[r.drawNode(t)] = r.store.view() }

// sendCampaign has a node send a campaign based on its view.
func (r *electionRun) sendCampaign(t *rapid.T) {
	node := r.drawNode(t)
	if !r.views[node].MayCampaign(node) {
		t.Skip()
	}
	r.sent = append(r.sent, sentCampaign{node, r.views[node].Campaign(node, 1)})
}

// deliverCampaign delivers any campaign that was sent; it may be delivered again later.
func (r *electionRun) deliverCampaign(t *rapid.T) {
	if len(r.sent) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(r.sent)-1).Draw(t, "campaign")
	campaign := r.sent[i]
	if rapid.Bool().Draw(t, "once") {
		r.sent = append(r.sent[:i:i], r.sent[i+1:]...)
	}
	if !r.store.commit(t, campaign.Campaign) {
		return
	}
	if campaign.Term <= r.newest {
		t.Fatalf("term %d granted after term %d", campaign.Term, r.newest)
	}
	if winner := r.winners[campaign.Term]; winner != "" {
		t.Fatalf("term %d granted to both %s and %s", campaign.Term, winner, campaign.node)
	}
	r.newest = campaign.Term
	r.winners[campaign.Term], r.termRevisions[campaign.Term] = campaign.node, r.store.termRevision
}

// expireLease removes the leader's record.
func (r *electionRun) expireLease(*rapid.T) {
	if r.store.leaderRevision != 0 {
		r.store.revision++
		r.store.leader, r.store.leaderRevision = LeaderRecord{}, 0
	}
}

// checkPastTermsCannotWrite fails if the record revision of a past term, on which its
// leader's writes are conditioned, is still the current one.
func (r *electionRun) checkPastTermsCannotWrite(t *rapid.T) {
	t.Helper()
	for term, revision := range r.termRevisions {
		if term != r.newest && revision == r.store.termRevision {
			t.Fatalf("the leader of term %d can still write in term %d", term, r.newest)
		}
	}
}

// TestViewAppliesChanges checks that a view follows the changes reported by a watch and is
// not changed by other keys or by records that can't be decoded.
func TestViewAppliesChanges(t *testing.T) {
	const leader, term = `{"label":"b","term":4}`, `{"term":4,"label":"b"}`
	led := View{Leader: LeaderRecord{Node: "b", Term: 4}, LeaderRevision: 7, Term: 4, TermRevision: 7}
	vacant := View{Term: 4, TermRevision: 7}
	for _, test := range []struct {
		name        string
		from        View
		change      statestore.Change
		want        View
		wantErr     bool
		canCampaign string // a node that may campaign afterwards
	}{
		{"leader named", vacant, statestore.Change{Put: LeaderKey, Value: json.RawMessage(leader), Revision: 7}, led, false, "b"},
		{"lease expired", led, statestore.Change{Delete: LeaderKey, Revision: 8}, vacant, false, "a"},
		{"term increased", View{}, statestore.Change{Put: TermKey, Value: json.RawMessage(term), Revision: 7}, vacant, false, "a"},
		{"term removed", vacant, statestore.Change{Delete: TermKey, Revision: 9}, View{}, false, "a"},
		{"another key", led, statestore.Change{Put: Prefix + "note", Value: json.RawMessage(`1`), Revision: 9}, led, false, "b"},
		{"unreadable leader", led, statestore.Change{Put: LeaderKey, Value: json.RawMessage(`1`), Revision: 9}, led, true, "b"},
		{"unreadable term", led, statestore.Change{Put: TermKey, Value: json.RawMessage(`1`), Revision: 9}, led, true, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := test.from
			if err := view.applyChange(test.change); (err != nil) != test.wantErr {
				t.Errorf("applyChange: unexpected result, error %v", err)
			}
			if view != test.want {
				t.Errorf("view %+v, want %+v", view, test.want)
			}
			if !view.MayCampaign(test.canCampaign) {
				t.Errorf("%s may not campaign", test.canCampaign)
			}
			if view.LeaderRevision != 0 && view.MayCampaign("c") {
				t.Error("node c may campaign while another node leads")
			}
		})
	}
}

// TestViewIgnoresFieldsOfOtherCase guards against a leader or a term taken from unknown fields of the
// election's records.
func TestViewIgnoresFieldsOfOtherCase(t *testing.T) {
	var view View
	for _, record := range []struct{ key, text string }{
		{LeaderKey, `{"label":"rig-1","term":4}`},
		{TermKey, `{"term":5,"label":"rig-2"}`},
	} {
		if err := view.Apply(record.key, wirejsontest.AddCaseVariants(t, []byte(record.text)), 9); err != nil {
			t.Errorf("%s: %v", record.key, err)
		}
	}
	if want := (View{Leader: LeaderRecord{Node: "rig-1", Term: 4}, LeaderRevision: 9, Term: 5, TermRevision: 9}); view != want {
		t.Errorf("got %+v, want %+v", view, want)
	}
}
