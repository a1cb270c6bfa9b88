package leader

import "thornnotch/internal/constants"

// attemptNumbers allocates the attempt numbers of one term. Numbers of different terms never
// collide: from low to high, a number consists of the low bits of a counter, the term, and the
// high bits of the counter (the carry). Up to the first carry, the numbers are the same as in
// earlier versions. A term of more than TermBits bits leaves no room for a carry, so it has no
// further numbers.
type attemptNumbers struct{ term, used uint64 }

// next allocates a number. It returns false once the term has no numbers left.
func (n *attemptNumbers) next() (number uint64, ok bool) {
	used := n.used + 1
	carry := used >> constants.AttemptCounterBits
	if carry >= 1<<constants.AttemptCarryBits || carry > 0 && n.term >= 1<<constants.TermBits {
		return 0, false
	}
	n.used = used
	return carry<<(constants.AttemptCounterBits+constants.TermBits) | n.term<<constants.AttemptCounterBits | used&(1<<constants.AttemptCounterBits-1), true
}

// owns reports whether a number belongs to this term.
func (n *attemptNumbers) owns(number uint64) bool {
	if n.term >= 1<<constants.TermBits {
		return number>>constants.AttemptCounterBits == n.term
	}
	return number>>constants.AttemptCounterBits&(1<<constants.TermBits-1) == n.term
}
