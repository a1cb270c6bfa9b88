package jobs

import (
	"encoding/json"
)

// Keys of the users' records. A job is below one prefix or the other: it moves from open to
// final in one transaction, so a reader that looks at open first and final second never
// misses it.
const (
	OpenPrefix  = "open/"
	FinalPrefix = "final/"
)

// FinalRecord is what is kept of a job for ever.
type FinalRecord struct {
	// Status is StatusDone or StatusCancelled.
	Status string `json:"status"`
	// Tasks is the number of tasks of a job that is done.
	Tasks int `json:"pieces"`
	// FinishedAtMS is when the leader found the job done, in Unix milliseconds; 0 if it is
	// not known. Jobs that depend on this one count their times from it.
	FinishedAtMS int64 `json:"atMs,omitempty"`
}

// Record is what is kept of an open job. It never changes.
type Record struct {
	Spec
	// AcceptedAtMS is when the job was accepted, in Unix milliseconds.
	AcceptedAtMS int64 `json:"atMs"`
	// Split says where the rest of DependsOn stands if the list is too long for one
	// value; nil: it is whole.
	Split *SplitList `json:"split,omitempty"`
}

// EncodeRecord makes the record of a job accepted at that time (Unix milliseconds). If the
// list of its dependencies makes it too long for one value of so many bytes, the list goes
// into parts, to be written first, in this order, under the keys that the record's SplitList
// gives them; upload makes these keys the submission's own.
func EncodeRecord(spec Spec, acceptedAtMS int64, valueBytes int, upload string) (record json.RawMessage, parts []json.RawMessage, err error) {
	record, err = json.Marshal(Record{Spec: spec, AcceptedAtMS: acceptedAtMS})
	if err != nil || len(record) <= valueBytes-recordMarginBytes {
		return record, nil, err
	}
	parts, err = encodeParts(spec.DependsOn, valueBytes-recordMarginBytes)
	if err != nil {
		return nil, nil, err
	}
	spec.DependsOn = nil
	split := Record{Spec: spec, AcceptedAtMS: acceptedAtMS}
	if len(parts) > 0 {
		split.Split = &SplitList{Upload: upload, Parts: len(parts)}
	}
	record, err = json.Marshal(split)
	return record, parts, err
}

// recordMarginBytes is left free in a value, in bytes.
const recordMarginBytes = 64
