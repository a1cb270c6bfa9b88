package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"thornnotch/internal/statestore"
)

// SplitListPrefix is where the parts of split lists stand.
const SplitListPrefix = "waits/"

// SplitList names values below SplitListPrefix that together hold a list of job IDs. They are
// written before the record that names them, each submission's under a name of its own: so
// they never change once a record names them.
type SplitList struct {
	// Upload is the name that the submission drew for its parts.
	Upload string `json:"upload"`
	// Parts is the number of parts.
	Parts int `json:"parts"`
}

// PartKey is the key of a part, counted from 0, of the list of the job with this ID.
func (l SplitList) PartKey(id string, part int) string {
	return fmt.Sprintf("%s%04d", l.keyPrefix(id), part)
}

func (l SplitList) keyPrefix(id string) string {
	return SplitListPrefix + id + "/" + l.Upload + "/"
}

// Dependencies are the jobs that must be done before a job, as its record names them.
type Dependencies struct {
	// DependsOn are the job IDs that the record itself holds.
	DependsOn []string `json:"waitsOn"`
	// Split says where further ones stand; nil: nowhere.
	Split *SplitList `json:"split"`
}

// Empty reports whether the job depends on none.
func (d Dependencies) Empty() bool { return len(d.DependsOn) == 0 && d.Split == nil }

// DecodeDependencies reads them from the value of a job's record. It reports no error:
// whoever uses the rest of a record that can't be read says what is wrong with it.
func DecodeDependencies(record json.RawMessage) Dependencies {
	var dependencies Dependencies
	// Most records have none, and there are many: looking for the names is much cheaper.
	if bytes.Contains(record, []byte(`"`+FieldDependsOn+`"`)) || bytes.Contains(record, []byte(`"split"`)) {
		_ = json.Unmarshal(record, &dependencies) // see above
	}
	return dependencies
}

// lister reads all keys below a prefix, in their order.
type lister interface {
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
}

// Load returns the whole list of the job with this ID, and reads its parts if it is split.
func (d Dependencies) Load(ctx context.Context, store lister, class statestore.Class, id string) ([]string, error) {
	if d.Split == nil {
		return d.DependsOn, nil
	}
	rows, _, err := store.List(ctx, class, d.Split.keyPrefix(id))
	if err != nil {
		return nil, fmt.Errorf("record %s%s: parts of %s: %w", OpenPrefix, id, FieldDependsOn, err)
	}
	if len(rows) != d.Split.Parts {
		return nil, fmt.Errorf("record %s%s: %d of %d parts of %s", OpenPrefix, id, len(rows), d.Split.Parts, FieldDependsOn)
	}
	all := slices.Clone(d.DependsOn)
	for _, row := range rows {
		var part []string
		if err := json.Unmarshal(row.Value, &part); err != nil {
			return nil, fmt.Errorf("record %s: %w", row.Key, err)
		}
		all = append(all, part...)
	}
	return all, nil
}

// encodeParts divides a list of job IDs into JSON arrays of at most so many bytes each, and
// of at least one ID.
func encodeParts(ids []string, partBytes int) ([]json.RawMessage, error) {
	var parts []json.RawMessage
	for len(ids) > 0 {
		count := partLength(ids, partBytes)
		part, err := json.Marshal(ids[:count])
		if err != nil {
			return nil, err
		}
		parts, ids = append(parts, part), ids[count:]
	}
	return parts, nil
}

// partLength is how many of the IDs one part holds.
func partLength(ids []string, partBytes int) int {
	const brackets, quotesAndComma = 2, 3 // bytes of JSON
	count, size := 0, brackets
	for count < len(ids) && size+len(ids[count])+quotesAndComma <= partBytes {
		size += len(ids[count]) + quotesAndComma
		count++
	}
	return max(count, 1)
}
