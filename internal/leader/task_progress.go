package leader

import (
	"math/bits"
	"slices"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
)

// bitset is a set of tasks.
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

// taskProgress is which tasks of a job are done, and of which of these the completion is
// recorded.
type taskProgress struct {
	tasks     int
	done      bitset
	recorded  bitset
	doneCount int
	// firstWaiting is a lower bound: no task below it waits for a machine.
	firstWaiting int
}

func newTaskProgress(tasks int) taskProgress {
	return taskProgress{tasks: tasks, done: newBitset(tasks), recorded: newBitset(tasks)}
}

// isDone tells whether a task is done.
func (p *taskProgress) isDone(task int) bool { return p.done.has(task) }

// isRecorded tells whether the completion of a task is recorded.
func (p *taskProgress) isRecorded(task int) bool { return p.recorded.has(task) }

// completed is how many tasks are done.
func (p *taskProgress) completed() int { return p.doneCount }

// remaining is how many tasks are not done.
func (p *taskProgress) remaining() int { return p.tasks - p.doneCount }

// complete notes that a task is done.
func (p *taskProgress) complete(task int) {
	if !p.done.has(task) {
		p.done.set(task)
		p.doneCount++
	}
}

// completeAll notes that all tasks are done.
func (p *taskProgress) completeAll() {
	for task := range p.tasks {
		p.done.set(task)
	}
	p.doneCount = p.tasks
}

// markRecorded notes that the completion of a task is recorded, or of all that are done
// if the record was of wal.AllTasks.
func (p *taskProgress) markRecorded(task int) {
	if task == wal.AllTasks {
		copy(p.recorded, p.done)
		return
	}
	p.recorded.set(task)
}

// restore takes in tasks that the records name as done. What is no task of the job is
// passed over.
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

// chunks are the done tasks in parts that fit a checkpoint.
func (p *taskProgress) chunks() (chunks []wal.DoneTasks) {
	const chunkBytes = constants.DoneChunkTasks / 8
	for at := 0; at < len(p.done); at += chunkBytes {
		chunks = append(chunks, wal.DoneTasks{First: at * 8, Bits: slices.Clone(p.done[at:min(len(p.done), at+chunkBytes)])})
	}
	return chunks
}

// mayWaitFrom lowers the bound on the tasks that wait: this one may.
func (p *taskProgress) mayWaitFrom(task int) { p.firstWaiting = min(p.firstWaiting, task) }
