package leader

import (
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
)

// TestAttemptNumbersAreUnique checks that numbers of different terms, and numbers allocated at
// different times within a term, are distinct, and that owns recognizes exactly the numbers of
// its own term. The carry is reached in practice: a busy fleet of thousands of machines starts a
// million tasks, the range of the low bits, within an hour.
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
			t.Fatalf("%+v or %+v has no numbers left", a, b)
		}
		if (x == y) != same {
			t.Fatalf("%+v allocates %d, %+v allocates %d", a, x, b, y)
		}
		if !a.owns(x) || b.owns(x) != (a.term == b.term) {
			t.Fatalf("number %d: owned by its allocator %+v: %v, owned by %+v: %v", x, a, a.owns(x), b, b.owns(x))
		}
	})
}

// TestAttemptNumbersMatchEarlierVersions checks that the first million numbers of a term keep
// the layout that the version in production writes and reads, and that a term too large to
// leave bits for the carry runs out of numbers at the first carry.
func TestAttemptNumbersMatchEarlierVersions(t *testing.T) {
	n := attemptNumbers{term: 7}
	if number, _ := n.next(); number != 7<<20|1 {
		t.Errorf("first number: %d, want 7<<20|1", number)
	}
	n.used = 1<<20 - 2
	if number, ok := n.next(); !ok || number != 7<<20|(1<<20-1) {
		t.Errorf("last number before the carry: %d, ok %v, want 7<<20|(1<<20-1), true", number, ok)
	}
	if number, ok := n.next(); !ok || number != 1<<44|7<<20 {
		t.Errorf("first number with a carry: %d, ok %v, want 1<<44|7<<20, true", number, ok)
	}
	large := attemptNumbers{term: 1 << constants.TermBits, used: 1<<20 - 2}
	if number, ok := large.next(); !ok || !large.owns(number) {
		t.Errorf("last number of a term that is too large for a carry: %d, ok %v", number, ok)
	}
	if number, ok := large.next(); ok {
		t.Errorf("a term that is too large for a carry allocated %d after its last number", number)
	}
}
