// Package leader makes the decisions of one term: it takes in heartbeats and submissions,
// records what it decides, and commands the workers.
//
// A [Leader] is made for one granted term and run once. One goroutine, the loop, owns all
// scheduling state; everything else reaches it as an event (loop.go shows an event's whole
// way). The loop makes no calls to outside systems: it queues them, and each is made on a
// goroutine of its own that hands its result back as an event.
//
// The state is divided into components, types of this package or packages below it. A
// component keeps its fields to itself; the Leader's methods carry what one decides to the
// others:
//
//   - term: whether the term lasts, what ended it, stalls, attempt numbers
//   - leader/certainty: up to when all cancellations are known, and so whether workers may
//     be acknowledged
//   - leader/wal and groupCommit: the write-ahead log, and its transactions
//   - failover, recovery.go, legacy.go: taking over from an earlier term
//   - metadataQueue: holds and images, recorded within a budget
//   - jobTable, dependencyTracker: accepted jobs, and what they wait for
//   - classStats: how the jobs of each class come and fare
//   - passTimer, teamUsage, placement_snapshot.go, plan_execution.go: when a scheduling pass
//     runs, what it is shown, and carrying out its plan
//   - fleet, leader/health: machines, and which of them are to be avoided
//   - scalingState: dealings with the cloud
//   - loadLog and status: what operators see
//
// Safety rests on records in the state service, not on the lease or on timing: no attempt
// starts, no worker forgets and no user is told before the record that it needs is
// committed. The argument is in docs/design.md (Safety).
package leader
