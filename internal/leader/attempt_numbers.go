package leader

import "thornnotch/internal/constants"

// attemptNumbers gives out the attempt numbers of one term. No two terms share one:
// the low bits count, the term stands above them, and what the low bits can't count
// goes on above the term. Numbers up to the first carry are as earlier versions made
// them.
type attemptNumbers struct{ term, used uint64 }

// next is a new number; false once the term has none left.
func (n *attemptNumbers) next() (number uint64, ok bool) {
	used := n.used + 1
	carry := used >> constants.AttemptCounterBits
	if carry >= 1<<constants.AttemptCarryBits || carry > 0 && n.term >= 1<<constants.TermBits {
		return 0, false
	}
	n.used = used
	return carry<<(constants.AttemptCounterBits+constants.TermBits) | n.term<<constants.AttemptCounterBits | used&(1<<constants.AttemptCounterBits-1), true
}

// owns tells whether a number is one of this term's.
func (n *attemptNumbers) owns(number uint64) bool {
	if n.term >= 1<<constants.TermBits {
		return number>>constants.AttemptCounterBits == n.term
	}
	return number>>constants.AttemptCounterBits&(1<<constants.TermBits-1) == n.term
}
