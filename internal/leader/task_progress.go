package leader

import (
	"math/bits"

	"thornnotch/internal/workers"
)

// bitset is a set of tasks.
type bitset []byte

func (b bitset) has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }

func (b bitset) set(i int) { b[i/8] |= 1 << (i % 8) }

func (j *jobState) recountDone() {
	j.doneCount = 0
	for _, b := range j.doneTasks {
		j.doneCount += bits.OnesCount8(b)
	}
}

func (j *jobState) runningTasks() (n int) {
	for _, seats := range j.attempts {
		for _, s := range seats {
			if s.attempt.Status == workers.StatusRunning || s.attempt.Status == workers.StatusSaving {
				n++
				break
			}
		}
	}
	return n
}
