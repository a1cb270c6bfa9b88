package election

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/statestore"
)

// TestTermsOnlyRise lets nodes with views of any age campaign, their requests
// arriving late and in any order, with leases ending at any time: each term
// has one leader, terms only rise, and a leader whose term has passed can
// write nothing any more.
func TestTermsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newElectionRun()
		t.Repeat(map[string]func(*rapid.T){
			"look":       r.look,
			"campaign":   r.campaign,
			"arrive":     r.arrive,
			"lease ends": r.endLease,
			"":           r.checkOldTermsCantWrite,
		})
	})
}

// modelStore is the part of the state service that an election sees.
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

// run carries out a campaign if its conditions hold.
func (s *modelStore) run(t *rapid.T, campaign Campaign) bool {
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
		err, s.leaderRevision = json.Unmarshal(write.Value, &s.leader), s.revision
	case TermKey:
		err, s.termRevision = json.Unmarshal(write.Value, &s.term), s.revision
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
	// views are what the nodes saw last, of any age.
	views map[string]View
	// sent are campaigns that may arrive, once or more often.
	sent []sentCampaign
	// newest is the newest term, winners and termRevisions are by term.
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
	return rapid.SampledFrom(r.nodes).Draw(t, "who")
}

// look has a node read the records.
func (r *electionRun) look(t *rapid.T) { r.views[r.drawNode(t)] = r.store.view() }

// campaign has a node send a campaign by what it saw last.
func (r *electionRun) campaign(t *rapid.T) {
	node := r.drawNode(t)
	if !r.views[node].MayCampaign(node) {
		t.Skip()
	}
	r.sent = append(r.sent, sentCampaign{node, r.views[node].Campaign(node, 1)})
}

// arrive lets any campaign that was sent arrive; it may arrive again.
func (r *electionRun) arrive(t *rapid.T) {
	if len(r.sent) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(r.sent)-1).Draw(t, "request")
	campaign := r.sent[i]
	if rapid.Bool().Draw(t, "once") {
		r.sent = append(r.sent[:i:i], r.sent[i+1:]...)
	}
	if !r.store.run(t, campaign.Campaign) {
		return
	}
	if campaign.Term <= r.newest {
		t.Fatalf("term %d after %d", campaign.Term, r.newest)
	}
	if winner := r.winners[campaign.Term]; winner != "" {
		t.Fatalf("term %d went to %s and %s", campaign.Term, winner, campaign.node)
	}
	r.newest = campaign.Term
	r.winners[campaign.Term], r.termRevisions[campaign.Term] = campaign.node, r.store.termRevision
}

// endLease removes the leader's record.
func (r *electionRun) endLease(*rapid.T) {
	if r.store.leaderRevision != 0 {
		r.store.revision++
		r.store.leader, r.store.leaderRevision = LeaderRecord{}, 0
	}
}

// checkOldTermsCantWrite: a leader's write is conditioned on its term's record.
func (r *electionRun) checkOldTermsCantWrite(t *rapid.T) {
	t.Helper()
	for term, revision := range r.termRevisions {
		if term != r.newest && revision == r.store.termRevision {
			t.Fatalf("the leader of term %d could still write in term %d", term, r.newest)
		}
	}
}

// TestViewFollowsChanges: a view follows what a watch tells, other keys change nothing, and
// neither does a record that can't be read.
func TestViewFollowsChanges(t *testing.T) {
	const leader, term = `{"label":"b","term":4}`, `{"term":4,"label":"b"}`
	led := View{Leader: LeaderRecord{Node: "b", Term: 4}, LeaderRevision: 7, Term: 4, TermRevision: 7}
	vacant := View{Term: 4, TermRevision: 7}
	for _, test := range []struct {
		name      string
		from      View
		change    statestore.Change
		want      View
		unread    bool
		campaigns string // a node that may then campaign
	}{
		{"leader named", vacant, statestore.Change{Put: LeaderKey, Value: json.RawMessage(leader), Revision: 7}, led, false, "b"},
		{"lease ended", led, statestore.Change{Delete: LeaderKey, Revision: 8}, vacant, false, "a"},
		{"term raised", View{}, statestore.Change{Put: TermKey, Value: json.RawMessage(term), Revision: 7}, vacant, false, "a"},
		{"term removed", vacant, statestore.Change{Delete: TermKey, Revision: 9}, View{}, false, "a"},
		{"another key", led, statestore.Change{Put: Prefix + "note", Value: json.RawMessage(`1`), Revision: 9}, led, false, "b"},
		{"unreadable leader", led, statestore.Change{Put: LeaderKey, Value: json.RawMessage(`1`), Revision: 9}, led, true, "b"},
		{"unreadable term", led, statestore.Change{Put: TermKey, Value: json.RawMessage(`1`), Revision: 9}, led, true, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := test.from
			if err := view.applyChange(test.change); (err != nil) != test.unread {
				t.Errorf("error %v", err)
			}
			if view != test.want {
				t.Errorf("view %+v, want %+v", view, test.want)
			}
			if !view.MayCampaign(test.campaigns) {
				t.Errorf("%s may not campaign", test.campaigns)
			}
			if view.LeaderRevision != 0 && view.MayCampaign("c") {
				t.Error("a third node may campaign though another leads")
			}
		})
	}
}
