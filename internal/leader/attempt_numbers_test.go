package leader

import (
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
)

// TestAttemptNumbersAreUnique: numbers of different terms, or given out at different
// times of one, differ; each is known as its term's own and no other's. A busy fleet
// of thousands of machines starts a million tasks within an hour.
func TestAttemptNumbersAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) attemptNumbers {
			n := attemptNumbers{term: rapid.Uint64Range(1, 1<<constants.TermBits-1).Draw(t, name+" term")}
			if rapid.Bool().Draw(t, name+" carries") {
				n.used = rapid.Uint64Range(0, 1<<(constants.AttemptCounterBits+constants.AttemptCarryBits)-2).Draw(t, name+" used")
			} else {
				n.used = rapid.Uint64Range(0, 2<<constants.AttemptCounterBits).Draw(t, name+" few")
			}
			return n
		}
		a, b := draw("a"), draw("b")
		if rapid.Bool().Draw(t, "one term") {
			b.term = a.term
			if rapid.Bool().Draw(t, "a carry apart") {
				b.used = a.used%(1<<constants.AttemptCounterBits) + 1<<constants.AttemptCounterBits
			}
		}
		same := a == b
		x, okA := a.next()
		y, okB := b.next()
		if !okA || !okB {
			t.Fatalf("%+v or %+v has no number left", a, b)
		}
		if (x == y) != same {
			t.Fatalf("%+v gives %d, %+v gives %d", a, x, b, y)
		}
		if !a.owns(x) || b.owns(x) != (a.term == b.term) {
			t.Fatalf("%d of %+v: own %v, of %+v %v", x, a, a.owns(x), b, b.owns(x))
		}
	})
}

// TestAttemptNumbersOfEarlierVersions: the first million of a term are as the version
// in production makes and reads them, and a term too large to carry ends in time.
func TestAttemptNumbersOfEarlierVersions(t *testing.T) {
	n := attemptNumbers{term: 7}
	if try, _ := n.next(); try != 7<<20|1 {
		t.Errorf("the first is %d", try)
	}
	n.used = 1<<20 - 2
	if try, ok := n.next(); !ok || try != 7<<20|(1<<20-1) {
		t.Errorf("the last without a carry is %d, %v", try, ok)
	}
	if try, ok := n.next(); !ok || try != 1<<44|7<<20 {
		t.Errorf("the first with a carry is %d, %v", try, ok)
	}
	large := attemptNumbers{term: 1 << constants.TermBits, used: 1<<20 - 2}
	if try, ok := large.next(); !ok || !large.owns(try) {
		t.Errorf("%d, %v", try, ok)
	}
	if try, ok := large.next(); ok {
		t.Errorf("a term above the carry's place goes on with %d", try)
	}
}
