package election

import (
	"encoding/json"
	"fmt"

	"thornnotch/internal/statestore"
)

// Keys of the election in the state service.
const (
	// Prefix is common to both keys.
	Prefix = "term/"
	// LeaderKey holds the LeaderRecord. It is attached to the leader's lease, and goes
	// with it.
	LeaderKey = Prefix + "lead"
	// TermKey holds the TermRecord, which is never removed.
	TermKey = Prefix + "number"
)

// LeaderRecord says who leads. It lives as long as its lease.
type LeaderRecord struct {
	Node string `json:"label"`
	Term uint64 `json:"term"`
}

// TermRecord is the newest term and the node that it was granted to. The term only rises.
// Every write of a leader is conditioned on the revision of this record.
type TermRecord struct {
	Term uint64 `json:"term"`
	Node string `json:"label"`
}

// View is what a node knows of the election, by the records and the revisions of their
// keys. It decides without I/O.
type View struct {
	Leader         LeaderRecord
	LeaderRevision uint64 // 0: nobody leads
	Term           uint64
	TermRevision   uint64 // 0: there was no term yet
}

// Apply brings the view up to date with one record; a nil value says that it was removed.
// It leaves the view as it is if the record can't be read.
func (v *View) Apply(key string, value json.RawMessage, revision uint64) error {
	switch key {
	case LeaderKey:
		var leader LeaderRecord
		if value == nil {
			revision = 0
		} else if err := json.Unmarshal(value, &leader); err != nil {
			return fmt.Errorf("record %s: %w", key, err)
		}
		v.Leader, v.LeaderRevision = leader, revision
	case TermKey:
		var term TermRecord
		if value == nil {
			revision = 0
		} else if err := json.Unmarshal(value, &term); err != nil {
			return fmt.Errorf("record %s: %w", key, err)
		}
		v.Term, v.TermRevision = term.Term, revision
	}
	return nil
}

// applyChange brings the view up to date with one change that a watch told of.
func (v *View) applyChange(change statestore.Change) error {
	if change.Delete != "" {
		return v.Apply(change.Delete, nil, change.Revision)
	}
	return v.Apply(change.Put, change.Value, change.Revision)
}

// MayCampaign tells whether the node may try to lead: nobody does, or its own earlier
// process did, which is gone.
func (v View) MayCampaign(self string) bool {
	return v.LeaderRevision == 0 || v.Leader.Node == self
}

// Campaign is the transaction that makes a node leader of Term.
type Campaign struct {
	Term       uint64
	Conditions []statestore.Condition
	Writes     []statestore.Write
}

// Campaign raises the term and names the node as leader, for as long as the lease lasts. It
// is conditioned on all that the view rests on, so it fails if anybody else did anything
// meanwhile, however late it arrives: no term is granted twice.
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

// viewOfWinner is the view of a node whose campaign was carried out at this revision.
func viewOfWinner(self string, campaign Campaign, revision uint64) View {
	return View{
		Leader:         LeaderRecord{Node: self, Term: campaign.Term},
		LeaderRevision: revision,
		Term:           campaign.Term,
		TermRevision:   revision,
	}
}

// retakeLease is the transaction that names the leader of the view again, under another
// lease. It fails if anybody is named, or the term was raised.
func (v View) retakeLease(lease uint64) ([]statestore.Condition, []statestore.Write) {
	return []statestore.Condition{{Key: LeaderKey}, {Key: TermKey, Revision: v.TermRevision}},
		[]statestore.Write{{Put: LeaderKey, Value: encode(v.Leader), Lease: lease}}
}

// encode gives the stored form of a record. Records hold nothing but plain values, which
// can always be encoded: a failure is a fault of this package.
func encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("election: encode %T: %v", record, err))
	}
	return raw
}
