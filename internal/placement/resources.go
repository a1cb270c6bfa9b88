package placement

import (
	"math"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// Resources is an amount of a machine's resources.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// TaskResources is what one task of a job requests.
func TaskResources(spec *jobs.Spec) Resources {
	return Resources{spec.CPUs, spec.GPUs, spec.MemoryGB}
}

// Add returns the sum of both.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.MemoryGB + other.MemoryGB}
}

// Sub returns what is left of r without other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.MemoryGB - other.MemoryGB}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	factor := float64(n)
	return Resources{r.CPUs * factor, r.GPUs * factor, r.MemoryGB * factor}
}

// Fits tells whether the request fits into r.
func (r Resources) Fits(request Resources) bool {
	return request.CPUs <= r.CPUs+constants.ResourceTolerance &&
		request.GPUs <= r.GPUs+constants.ResourceTolerance &&
		request.MemoryGB <= r.MemoryGB+constants.ResourceTolerance
}

// Count tells how many times the request fits into r, at most limit.
func (r Resources) Count(request Resources, limit int) int {
	count := float64(limit)
	for _, kind := range [][2]float64{{r.CPUs, request.CPUs}, {r.GPUs, request.GPUs}, {r.MemoryGB, request.MemoryGB}} {
		available, requested := kind[0], kind[1]
		if requested > 0 {
			count = min(count, math.Floor((available+constants.ResourceTolerance)/requested))
		}
	}
	return max(0, int(count))
}

// DominantShare is the largest of the shares of CPUs, GPUs and memory that r is of the
// total: what a machine has left beside it is of no use to more of the same. A kind that
// the total has none of does not count.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, kind := range [][2]float64{{r.CPUs, total.CPUs}, {r.GPUs, total.GPUs}, {r.MemoryGB, total.MemoryGB}} {
		used, capacity := kind[0], kind[1]
		if capacity > 0 {
			share = max(share, used/capacity)
		}
	}
	return share
}

// minEach is the lesser of both amounts, kind by kind.
func minEach(a, b Resources) Resources {
	return Resources{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs), min(a.MemoryGB, b.MemoryGB)}
}

// maxEach is the greater of both amounts, kind by kind.
func maxEach(a, b Resources) Resources {
	return Resources{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs), max(a.MemoryGB, b.MemoryGB)}
}
