package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"thornnotch/internal/statestore"
)

// Keys of the users' records. A job is below one prefix or the other: it
// moves in one transaction, so a reader that looks at open first and final
// second never misses it.
const (
	OpenPrefix  = "open/"
	FinalPrefix = "final/"
)

// FinalRecord is what is kept of a job for ever.
type FinalRecord struct {
	Status string `json:"status"`
	Tasks  int    `json:"pieces"`
	// AtMS is when the leader found the job done, in Unix milliseconds; 0 if it is
	// not known. Jobs that waited for this one count their times from it.
	FinishedAtMS int64 `json:"atMs,omitempty"`
}

// Record is what is kept of an open job. It never changes.
type Record struct {
	Spec
	// AtMS is when the job was accepted, in Unix milliseconds.
	AcceptedAtMS int64 `json:"atMs"`
	// Split says where the rest of WaitsOn stands if the list is too long for one
	// value; nil: it is whole.
	Split *SplitList `json:"split,omitempty"`
}

// SplitList names values below SplitPrefix that hold a list of jobs. They are written
// before the record that names them, each submission's under a name of its own.
type SplitList struct {
	Upload string `json:"upload"`
	Parts  int    `json:"parts"`
}

// SplitPrefix is where the values of split lists stand.
const SplitListPrefix = "waits/"

func (s SplitList) PartKey(id string, part int) string {
	return fmt.Sprintf("%s%s/%s/%04d", SplitListPrefix, id, s.Upload, part)
}

// Dependencies are the jobs that a record says must be done before.
type Dependencies struct {
	DependsOn []string   `json:"waitsOn"`
	Split     *SplitList `json:"split"`
}

// Empty tells whether nothing need be done before.
func (n Dependencies) Empty() bool { return len(n.DependsOn) == 0 && n.Split == nil }

// DependenciesOf reads them from a job's record.
func DecodeDependencies(v json.RawMessage) (n Dependencies) {
	// Most records have none, and there are many.
	if bytes.Contains(v, []byte(`"waitsOn"`)) || bytes.Contains(v, []byte(`"split"`)) {
		_ = json.Unmarshal(v, &n) // whoever uses the record says what is wrong with it
	}
	return n
}

// lister reads keys below a prefix.
type lister interface {
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
}

// Load completes a list that stands in several values.
func (n Dependencies) Load(ctx context.Context, store lister, class statestore.Class, id string) ([]string, error) {
	if n.Split == nil {
		return n.DependsOn, nil
	}
	rows, _, err := store.List(ctx, class, SplitListPrefix+id+"/"+n.Split.Upload+"/")
	if err != nil {
		return nil, err
	}
	if len(rows) != n.Split.Parts {
		return nil, fmt.Errorf("record %s%s: %d of %d parts of waitsOn", OpenPrefix, id, len(rows), n.Split.Parts)
	}
	all := slices.Clone(n.DependsOn)
	for _, r := range rows {
		var part []string
		if err := json.Unmarshal(r.Value, &part); err != nil {
			return nil, fmt.Errorf("record %s: %w", r.Key, err)
		}
		all = append(all, part...)
	}
	return all, nil
}

// PackRecord makes a job's record, and the parts of its list if that is too long for one
// value of so many bytes. upload names them.
func EncodeRecord(j Spec, atMS int64, limit int, upload string) (record json.RawMessage, parts []json.RawMessage, err error) {
	record, err = json.Marshal(Record{Spec: j, AcceptedAtMS: atMS})
	if err != nil || len(record) <= limit-recordSlack {
		return record, nil, err
	}
	rest := j.DependsOn
	j.DependsOn = nil
	for len(rest) > 0 {
		n, size := 0, 2
		for n < len(rest) && size+len(rest[n])+3 <= limit-recordSlack {
			size += len(rest[n]) + 3
			n++
		}
		n = max(n, 1)
		raw, err := json.Marshal(rest[:n])
		if err != nil {
			return nil, nil, err
		}
		parts, rest = append(parts, raw), rest[n:]
	}
	rec := Record{Spec: j, AcceptedAtMS: atMS}
	if len(parts) > 0 {
		rec.Split = &SplitList{Upload: upload, Parts: len(parts)}
	}
	record, err = json.Marshal(rec)
	return record, parts, err
}

// recordSlack is left free in a value, in bytes.
const recordSlack = 64
