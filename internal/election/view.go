package election

import (
	"encoding/json"
	"fmt"

	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// Keys of the election in the state service.
const (
	// Prefix is common to both keys.
	Prefix = "term/"
	// LeaderKey holds the LeaderRecord. It is attached to the leader's lease and removed with
	// it.
	LeaderKey = Prefix + "lead"
	// TermKey holds the TermRecord, which is never removed.
	TermKey = Prefix + "number"
)

// LeaderRecord names the leader. It exists as long as the leader's lease.
type LeaderRecord struct {
	Node string `json:"label"`
	Term uint64 `json:"term"`
}

// TermRecord holds the newest term and the node that it was granted to. The term only
// increases. Every write of a leader is conditioned on the revision of this record.
type TermRecord struct {
	Term uint64 `json:"term"`
	Node string `json:"label"`
}

// View is what a node knows of the election: the records and the revisions of their keys. Its
// methods do no I/O.
type View struct {
	Leader         LeaderRecord
	LeaderRevision uint64 // 0: no node leads
	Term           uint64
	TermRevision   uint64 // 0: there has been no term yet
}

// Apply updates the view with one record; a nil value means that the record was removed. If
// the record can't be decoded, the view stays unchanged.
func (v *View) Apply(key string, value json.RawMessage, revision uint64) error {
	switch key {
	case LeaderKey:
		var leader LeaderRecord
		if value == nil {
			revision = 0
		} else if err := wirejson.Decode(value, &leader); err != nil {
			return fmt.Errorf("decode record %s: %w", key, err)
		}
		v.Leader, v.LeaderRevision = leader, revision
	case TermKey:
		var term TermRecord
		if value == nil {
			revision = 0
		} else if err := wirejson.Decode(value, &term); err != nil {
			return fmt.Errorf("decode record %s: %w", key, err)
		}
		v.Term, v.TermRevision = term.Term, revision
	}
	return nil
}

// applyChange updates the view with one change reported by a watch.
func (v *View) applyChange(change statestore.Change) error {
	if change.Delete != "" {
		return v.Apply(change.Delete, nil, change.Revision)
	}
	return v.Apply(change.Put, change.Value, change.Revision)
}

// MayCampaign reports whether the node may campaign: no node leads, or the leader is an
// earlier process of this node, which no longer runs.
func (v View) MayCampaign(self string) bool {
	return v.LeaderRevision == 0 || v.Leader.Node == self
}

// Campaign is the transaction that makes a node the leader of Term.
type Campaign struct {
	Term       uint64
	Conditions []statestore.Condition
	Writes     []statestore.Write
}

// Campaign returns the transaction that increments the term and names the node as leader for
// as long as the lease lasts. It is conditioned on the revisions of both records in the view,
// so it fails if another node has changed either of them, however late it arrives. No term is
// granted twice.
func (v View) Campaign(self string, lease uint64) Campaign {
	term := v.Term + 1
	return Campaign{
		Term: term,
		Conditions: []statestore.Condition{
			{Key: LeaderKey, Revision: v.LeaderRevision},
			{Key: TermKey, Revision: v.TermRevision},
		},
		Writes: []statestore.Write{
			{Put: LeaderKey, Value: encode(LeaderRecord{Node: self, Term: term}), Lease: lease},
			{Put: TermKey, Value: encode(TermRecord{Term: term, Node: self})},
		},
	}
}

// winnerView returns the view of a node whose campaign was executed at the given revision.
func winnerView(self string, campaign Campaign, revision uint64) View {
	return View{
		Leader:         LeaderRecord{Node: self, Term: campaign.Term},
		LeaderRevision: revision,
		Term:           campaign.Term,
		TermRevision:   revision,
	}
}

// reacquireLease returns the conditions and writes of the transaction that writes the leader
// record of the view again, under another lease. The transaction fails if there is a leader record
// or if the term has increased.
func (v View) reacquireLease(lease uint64) ([]statestore.Condition, []statestore.Write) {
	return []statestore.Condition{{Key: LeaderKey}, {Key: TermKey, Revision: v.TermRevision}},
		[]statestore.Write{{Put: LeaderKey, Value: encode(v.Leader), Lease: lease}}
}

// encode returns the stored form of a record. The records hold only strings and integers,
// which always encode, so a failure is a bug in this package.
func encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("election: encode %T: %v", record, err))
	}
	return raw
}
