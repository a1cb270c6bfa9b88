package node

import "thornnotch/internal/workers"

// Demands on a site, each of which fails the test.

// checkRules demands that no rule was broken so far.
func (s *site) checkRules() {
	s.t.Helper()
	for _, violation := range s.rules.allViolations() {
		s.t.Errorf("rule broken: %s", violation)
	}
}

// checkGone demands that no task of a cancelled job runs.
func (s *site) checkGone(job string) {
	s.t.Helper()
	for _, task := range s.rules.tasksOf(job) {
		s.t.Errorf("ran_cancelled: %v", task)
	}
}

// checkSameTasks demands that what runs is what ran before, each task on its machine.
func (s *site) checkSameTasks(before map[workers.TaskID]string) {
	s.t.Helper()
	after := s.rules.runningTasks()
	if len(after) != len(before) {
		s.t.Errorf("%d tasks ran before, %d now", len(before), len(after))
	}
	for task, machine := range before {
		if after[task] != machine {
			s.t.Errorf("%v ran on %s, now on %q", task, machine, after[task])
		}
	}
}

// checkAllTasksDone demands that each task of a job that is called done was done.
func (s *site) checkAllTasksDone(id string) {
	s.t.Helper()
	spec, _ := s.Job(id)
	completions := s.rules.allCompletions()
	for i := range spec.Tasks {
		if completions[workers.TaskID{Job: id, Index: i}] == 0 {
			s.t.Errorf("not_done: %s is called done before its task %d is", id, i)
		}
	}
}
