// Package attestation lets the nodes prove to a leader, without the state service, which
// cancellations users have been told of.
//
// What a leader knows of cancellations comes from its watch on the state service. While
// that is not answered another node may have confirmed some, as the service may refuse
// this node alone. So the leader must let workers' leases expire in time, and in an outage
// that ends the work of the whole fleet although nobody can cancel anything. But a user is
// told by a process of some node. If the processes of all nodes name what they have told
// since the watch's last proof, nothing is missing.
//
// A round goes as follows. The leader notes the time, asks each node for the cancellations
// within Window, and puts the answers together with Merge. If that is complete, and the
// answers have not come too late (AnsweredTooLate), it knows of all cancellations that any
// user was told of before the time it noted. The argument, with all its conditions, is in
// docs/design.md (Safety, "The gap").
package attestation

import (
	"time"

	"thornnotch/internal/constants"
)

// Window is how far back from its answer a node must attest, so that it reaches back to the
// watch's last proof. Both times are by the leader's clock, and asked is the later one. The
// clocks of two nodes may differ in rate by constants.ClockDrift, and the answer is given
// up to constants.AttestationMaxAge after the question.
func Window(asked, lastWatched time.Time) time.Duration {
	return time.Duration(float64(asked.Sub(lastWatched))*(1+constants.ClockDrift)) + constants.AttestationMargin
}

// AnsweredTooLate tells whether the answers have come too long after the question: nodes
// count back from when they answer, so they may reach back less far than was asked for.
func AnsweredTooLate(asked, now time.Time) bool {
	return now.Sub(asked) > constants.AttestationMaxAge
}

// Attestation is what one node answers. The zero value is that of a node which is silent.
type Attestation struct {
	// Cancelled are the IDs of the jobs that it may have told users to be cancelled.
	Cancelled []string
	// Complete is set if no others can be, within the window that was asked for.
	Complete bool
}

// Merge puts together what so many nodes attest to. It reports false unless all of them
// have answered and each answer is complete: a node that is silent, or whose process has
// begun anew meanwhile, may have told users of what nobody else knows.
func Merge(attestations []Attestation, nodes int) (cancelled []string, complete bool) {
	if len(attestations) < nodes {
		return nil, false
	}
	for _, attestation := range attestations {
		if !attestation.Complete {
			return nil, false
		}
		cancelled = append(cancelled, attestation.Cancelled...)
	}
	return cancelled, true
}
