package jobs

import (
	"encoding/json"
)

// Key prefixes of the records of jobs. A job has a record under exactly one of them: it moves
// from open to final in one transaction, so a reader that looks up the open record first and
// the final record second never misses it.
const (
	OpenPrefix  = "open/"
	FinalPrefix = "final/"
)

// FinalRecord is the permanent record of a job that is done or cancelled.
type FinalRecord struct {
	// Status is StatusDone or StatusCancelled.
	Status string `json:"status"`
	// Tasks is the number of tasks of a job that is done.
	Tasks int `json:"pieces"`
	// FinishedAtMS is when the leader found the job done, in Unix milliseconds; 0 if unknown.
	// The waiting time of a job with dependencies counts from their latest FinishedAtMS, but
	// its deadline counts from its own submission.
	FinishedAtMS int64 `json:"atMs,omitempty"`
}

// Record is the record of an open job. It never changes.
type Record struct {
	Spec
	// AcceptedAtMS is when the job was accepted, in Unix milliseconds.
	AcceptedAtMS int64 `json:"atMs"`
	// Split identifies the parts that hold DependsOn if the list is too long for one value;
	// nil if DependsOn is complete.
	Split *SplitList `json:"split,omitempty"`
}

// EncodeRecord returns the record of a job accepted at the given time (Unix milliseconds). If
// the record is longer than valueBytes less recordMarginBytes, its list of dependencies is split
// into parts. The parts must be written before the record, in order, under the keys given by the
// record's SplitList. The upload ID makes these keys unique to the submission.
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

// recordMarginBytes is the number of bytes that records and list parts leave unused in a
// value.
const recordMarginBytes = 64
