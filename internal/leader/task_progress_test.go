package leader

import (
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/leader/wal"
)

// TestTaskProgress checks that each task counts once, regardless of how often and in which
// order tasks complete and are restored, and that the checkpoint chunks hold exactly the done
// tasks.
func TestTaskProgress(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tasks := rapid.IntRange(1, 40).Draw(rt, "tasks")
		progress := newTaskProgress(tasks)
		done := make(map[int]bool)
		for range rapid.IntRange(0, 30).Draw(rt, "steps") {
			task := rapid.IntRange(0, tasks-1).Draw(rt, "task")
			if rapid.Bool().Draw(rt, "restored") {
				progress.restore([]int{task, tasks, -7}) // the other two are out of range
			} else {
				progress.complete(task)
			}
			done[task] = true
		}
		checkProgress(rt, &progress, done)

		restored := newTaskProgress(tasks)
		for _, chunk := range progress.chunks() {
			for i := range len(chunk.Bits) * 8 {
				if bitset(chunk.Bits).has(i) {
					restored.restore([]int{chunk.First + i})
				}
			}
		}
		checkProgress(rt, &restored, done)
	})
}

func checkProgress(rt *rapid.T, progress *taskProgress, done map[int]bool) {
	rt.Helper()
	for task := range progress.tasks {
		if progress.isDone(task) != done[task] {
			rt.Fatalf("task %d done: %v, want %v", task, progress.isDone(task), done[task])
		}
	}
	if progress.completed() != len(done) || progress.remaining() != progress.tasks-len(done) {
		rt.Fatalf("%d done and %d remaining of %d, want %d done", progress.completed(), progress.remaining(), progress.tasks, len(done))
	}
}

// TestGangProgress checks that all tasks of a gang complete together and that one record covers
// them all.
func TestGangProgress(t *testing.T) {
	progress := newTaskProgress(9)
	progress.completeAll()
	if progress.remaining() != 0 || progress.isRecorded(8) {
		t.Fatalf("%d tasks remaining, marked as recorded too early: %v", progress.remaining(), progress.isRecorded(8))
	}
	progress.markRecorded(wal.AllTasks)
	for task := range 9 {
		if !progress.isRecorded(task) {
			t.Errorf("task %d is not recorded", task)
		}
	}
	next := newTaskProgress(9)
	next.restore([]int{wal.AllTasks})
	if next.completed() != 9 || !next.isRecorded(0) {
		t.Errorf("restored %+v, want all 9 tasks done and recorded", next)
	}
}
