package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// SplitListPrefix is the key prefix for the parts of split dependency lists.
const SplitListPrefix = "waits/"

// SplitList identifies the parts of a list of job IDs that is too long for one value. Each part is
// stored as a value of its own, under a key that starts with SplitListPrefix. The parts are written
// before the record that refers to them. Each submission uses its own upload ID, so the parts never
// change once a record refers to them.
type SplitList struct {
	// Upload is the random ID of the submission's parts.
	Upload string `json:"upload"`
	// Parts is the number of parts.
	Parts int `json:"parts"`
}

// PartKey returns the key of a part, numbered from 0, of the list of the job with this ID.
func (l SplitList) PartKey(id string, part int) string {
	return fmt.Sprintf("%s%04d", l.keyPrefix(id), part)
}

func (l SplitList) keyPrefix(id string) string {
	return SplitListPrefix + id + "/" + l.Upload + "/"
}

// Dependencies are the jobs that must be done before a job's tasks start, as stored in its
// record.
type Dependencies struct {
	// DependsOn holds the job IDs that the record itself contains.
	DependsOn []string `json:"waitsOn"`
	// Split identifies the parts that hold further job IDs; nil if there are none.
	Split *SplitList `json:"split"`
}

// Empty reports whether the job has no dependencies.
func (d Dependencies) Empty() bool { return len(d.DependsOn) == 0 && d.Split == nil }

// DecodeDependencies decodes the dependencies in a job's record. It ignores a record that
// can't be decoded: callers that decode the whole record report that error.
func DecodeDependencies(record json.RawMessage) Dependencies {
	var dependencies Dependencies
	// There are many records, and most have no dependencies. Searching for the field names is
	// much cheaper than decoding.
	if bytes.Contains(record, []byte(`"`+FieldDependsOn+`"`)) || bytes.Contains(record, []byte(`"split"`)) {
		_ = wirejson.Decode(record, &dependencies) // see the doc comment
	}
	return dependencies
}

// lister lists all keys with a prefix, in key order.
type lister interface {
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
}

// Load returns the IDs of all jobs that the job with this ID depends on. It reads the parts of a
// split list from the store.
func (d Dependencies) Load(ctx context.Context, store lister, class statestore.Class, id string) ([]string, error) {
	if d.Split == nil {
		return d.DependsOn, nil
	}
	rows, _, err := store.List(ctx, class, d.Split.keyPrefix(id))
	if err != nil {
		return nil, fmt.Errorf("record %s%s: list parts of %s: %w", OpenPrefix, id, FieldDependsOn, err)
	}
	if len(rows) != d.Split.Parts {
		return nil, fmt.Errorf("record %s%s: found %d of %d parts of %s", OpenPrefix, id, len(rows), d.Split.Parts, FieldDependsOn)
	}
	all := slices.Clone(d.DependsOn)
	for _, row := range rows {
		var part []string
		if err := wirejson.Decode(row.Value, &part); err != nil {
			return nil, fmt.Errorf("record %s: decode list of job IDs: %w", row.Key, err)
		}
		all = append(all, part...)
	}
	return all, nil
}

// encodeParts splits a list of job IDs into JSON arrays of at most partBytes bytes each. An
// array holds at least one ID, even if that exceeds the limit.
func encodeParts(ids []string, partBytes int) ([]json.RawMessage, error) {
	var parts []json.RawMessage
	for len(ids) > 0 {
		count := idsInPart(ids, partBytes)
		part, err := json.Marshal(ids[:count])
		if err != nil {
			return nil, err
		}
		parts, ids = append(parts, part), ids[count:]
	}
	return parts, nil
}

// idsInPart returns how many of the IDs fit into one part.
func idsInPart(ids []string, partBytes int) int {
	const brackets, quotesAndComma = 2, 3 // JSON syntax, in bytes
	count, size := 0, brackets
	for count < len(ids) && size+len(ids[count])+quotesAndComma <= partBytes {
		size += len(ids[count]) + quotesAndComma
		count++
	}
	return max(count, 1)
}
