// Package leader makes the decisions of one leadership term: it receives heartbeats and
// submissions, records its decisions and sends commands to the workers.
//
// A [Leader] is created for one granted term and runs once. A single goroutine, the event
// loop, owns all scheduling state; everything else reaches that state by posting events
// (loop.go describes the path of an event). The loop never calls external systems itself: it
// queues the calls, and each runs on its own goroutine and returns its result as an event.
//
// The state is split into components, which are types of this package or packages below it.
// Each component keeps its fields private; the methods of Leader pass the decisions of one
// component to the others:
//
//   - term: whether the term lasts, why it ended, detection of process stalls, attempt numbers
//   - leader/staleness: the time up to which all cancellations are known, and thus whether
//     heartbeats may be acknowledged
//   - leader/wal and groupCommit: the write-ahead log and its transactions
//   - failover, recovery.go, legacy.go: taking over from an earlier term
//   - metadataQueue: records of reservations and cached images, written within a byte budget
//   - jobTable, dependencyTracker: accepted jobs and the dependencies between them
//   - classStats: arrivals, placements, run times and waits by job class
//   - passTimer, teamUsage, placement_snapshot.go, plan_execution.go: when a scheduling pass
//     runs, its input, and the execution of its plan
//   - fleet, leader/health: machines, and which of them to avoid
//   - scalingState: renting machines from the cloud and returning them
//   - loadLog and status: what operators see
//
// Safety depends on records in the state service, not on the lease or on timing: no attempt
// starts, no worker forgets an exit and no user gets an answer before the record that it
// depends on is committed. docs/design.md (Safety) gives the argument.
package leader
