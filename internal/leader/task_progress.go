package leader

import (
	"math/bits"
	"slices"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
)

// bitset is a set of task indices.
type bitset []byte

func newBitset(tasks int) bitset { return make(bitset, (tasks+7)/8) }

func (b bitset) has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }

func (b bitset) set(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitset) count() (n int) {
	for _, part := range b {
		n += bits.OnesCount8(part)
	}
	return n
}

// taskProgress tracks which tasks of a job are done, and which of these completions are
// recorded.
type taskProgress struct {
	tasks     int
	done      bitset
	recorded  bitset
	doneCount int
	// firstWaiting is a lower bound on the indices of waiting tasks: no task with a lower index
	// waits for a machine.
	firstWaiting int
}

func newTaskProgress(tasks int) taskProgress {
	return taskProgress{tasks: tasks, done: newBitset(tasks), recorded: newBitset(tasks)}
}

// isDone reports whether a task is done.
func (p *taskProgress) isDone(task int) bool { return p.done.has(task) }

// isRecorded reports whether the completion of a task is recorded.
func (p *taskProgress) isRecorded(task int) bool { return p.recorded.has(task) }

// completed returns the number of tasks that are done.
func (p *taskProgress) completed() int { return p.doneCount }

// remaining returns the number of tasks that are not done.
func (p *taskProgress) remaining() int { return p.tasks - p.doneCount }

// complete marks a task as done.
func (p *taskProgress) complete(task int) {
	if !p.done.has(task) {
		p.done.set(task)
		p.doneCount++
	}
}

// completeAll marks all tasks as done.
func (p *taskProgress) completeAll() {
	for task := range p.tasks {
		p.done.set(task)
	}
	p.doneCount = p.tasks
}

// markRecorded marks the completion of a task as recorded. For wal.AllTasks it marks that of
// all tasks that are done.
func (p *taskProgress) markRecorded(task int) {
	if task == wal.AllTasks {
		copy(p.recorded, p.done)
		return
	}
	p.recorded.set(task)
}

// restore marks tasks read from the records as done and recorded. It ignores indices that are
// out of range.
func (p *taskProgress) restore(tasks []int) {
	for _, task := range tasks {
		switch {
		case task == wal.AllTasks:
			for i := range p.tasks {
				p.done.set(i)
				p.recorded.set(i)
			}
		case task >= 0 && task < p.tasks:
			p.done.set(task)
			p.recorded.set(task)
		}
	}
	p.doneCount = p.done.count()
}

// chunks returns the set of done tasks, split into chunks that each fit into one checkpoint
// record.
func (p *taskProgress) chunks() (chunks []wal.DoneTasks) {
	const chunkBytes = constants.TasksPerDoneChunk / 8
	for offset := 0; offset < len(p.done); offset += chunkBytes {
		chunks = append(chunks, wal.DoneTasks{First: offset * 8, Bits: slices.Clone(p.done[offset:min(len(p.done), offset+chunkBytes)])})
	}
	return chunks
}

// lowerFirstWaiting lowers firstWaiting to a task that may wait again.
func (p *taskProgress) lowerFirstWaiting(task int) { p.firstWaiting = min(p.firstWaiting, task) }
