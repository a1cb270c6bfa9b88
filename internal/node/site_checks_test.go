package node

import "thornnotch/internal/workers"

// Checks of a whole site. Each fails the test if it does not hold.

// checkNoViolations checks that no rule of the protocol has been violated so far.
func (s *site) checkNoViolations() {
	s.t.Helper()
	for _, violation := range s.rules.allViolations() {
		s.t.Errorf("rule violated: %s", violation)
	}
}

// checkNoRunningTasks checks that no task of a cancelled job is running.
func (s *site) checkNoRunningTasks(job string) {
	s.t.Helper()
	for _, task := range s.rules.runningTasksOf(job) {
		s.t.Errorf("ran_cancelled: task %v is still running", task)
	}
}

// checkTasksUnmoved checks that exactly the tasks that ran before are running, each on the same
// machine.
func (s *site) checkTasksUnmoved(before map[workers.TaskID]string) {
	s.t.Helper()
	after := s.rules.runningTasks()
	if len(after) != len(before) {
		s.t.Errorf("%d tasks were running before, %d are now", len(before), len(after))
	}
	for task, machine := range before {
		if after[task] != machine {
			s.t.Errorf("task %v was running on %s, now on %q", task, machine, after[task])
		}
	}
}

// checkAllTasksDone checks that each task of a job that is reported as done has completed.
func (s *site) checkAllTasksDone(id string) {
	s.t.Helper()
	spec, _ := s.Job(id)
	completions := s.rules.completionCounts()
	for i := range spec.Tasks {
		if completions[workers.TaskID{Job: id, Index: i}] == 0 {
			s.t.Errorf("not_done: %s is reported as done, but its task %d has not completed", id, i)
		}
	}
}
