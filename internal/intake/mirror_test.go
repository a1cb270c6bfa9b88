package intake

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/ledger"
)

// TestMirrorNeverGoesBack: jobs open and go; two readers bring the same changes,
// overlapping and in any order, and single reads bring older records late. Once a
// reader has brought all changes up to a moment, the mirror holds just the jobs that
// were open then: none that has gone, none missing.
func TestMirrorNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMirror()
		epoch := uint64(1)
		open := map[string]uint64{}
		var log []ledger.Change
		var read []ledger.Change // what single reads found, to be taken in late
		m.replace(nil, epoch)
		type answer struct {
			from, to uint64
			log      []ledger.Change
		}
		var under []answer
		since := func(from uint64) (out []ledger.Change) {
			for _, c := range log {
				if c.Stamp > from {
					out = append(out, c)
				}
			}
			return out
		}
		n := 0
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				epoch++
				id := fmt.Sprint("j-", n)
				n++
				open[id] = epoch
				c := ledger.Change{Set: OpenPrefix + id, V: []byte(`{}`), Stamp: epoch}
				log, read = append(log, c), append(read, c)
			case 2:
				for id := range open {
					epoch++
					delete(open, id)
					log = append(log, ledger.Change{Remove: OpenPrefix + id, Stamp: epoch})
					break
				}
			case 3:
				from := m.at()
				under = append(under, answer{from, epoch, since(from)})
			case 4:
				if len(read) > 0 {
					c := read[rapid.IntRange(0, len(read)-1).Draw(t, "read")]
					m.learn(c.Set[len(OpenPrefix):], c.Stamp, Needs{})
				}
			case 5:
				if len(under) > 0 {
					i := rapid.IntRange(0, len(under)-1).Draw(t, "answer")
					if !m.apply(under[i].log, under[i].from, under[i].to) {
						t.Fatal("a gap where there is none")
					}
					under = append(under[:i:i], under[i+1:]...)
				}
			}
		}
		if !m.apply(since(m.at()), m.at(), epoch) {
			t.Fatal("a gap where there is none")
		}
		for id, stamp := range open {
			if m.known(id) != stamp {
				t.Errorf("%s is missing", id)
			}
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if len(m.open) != len(open) {
			t.Errorf("%d jobs for %d", len(m.open), len(open))
		}
	})
}
