package reservations

import (
	"math"
	"time"

	"thornnotch/internal/constants"
)

// Deadline returns the reservation deadline D (paper, IV-B): how long after the start of a
// phase with the given number of tasks its slots stay reserved, where shortestRuntime is the run
// time of the task that finished first (t_m in the paper). It is equation (2) solved for D, so
// all tasks finish before D with probability P, but at most MaxReservationDeadline.
func (o Options) Deadline(shortestRuntime time.Duration, tasks int) time.Duration {
	tasks = max(1, tasks)
	deadline := float64(shortestRuntime) * math.Pow(1-math.Pow(o.P, 1/float64(tasks)), -1/o.Alpha)
	if deadline > float64(constants.MaxReservationDeadline) {
		return constants.MaxReservationDeadline
	}
	return time.Duration(deadline)
}
