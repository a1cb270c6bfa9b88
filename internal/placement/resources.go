package placement

import (
	"math"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// Resources is an amount of CPUs, GPUs and memory.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// TaskResources returns the resources that one task of the job requests.
func TaskResources(spec *jobs.Spec) Resources {
	return Resources{spec.CPUs, spec.GPUs, spec.MemoryGB}
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.MemoryGB + other.MemoryGB}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.MemoryGB - other.MemoryGB}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	factor := float64(n)
	return Resources{r.CPUs * factor, r.GPUs * factor, r.MemoryGB * factor}
}

// Covers reports whether r is at least the request, in each resource.
func (r Resources) Covers(request Resources) bool {
	return request.CPUs <= r.CPUs+constants.ResourceTolerance &&
		request.GPUs <= r.GPUs+constants.ResourceTolerance &&
		request.MemoryGB <= r.MemoryGB+constants.ResourceTolerance
}

// FitCount returns how many times the request fits into r, at most limit.
func (r Resources) FitCount(request Resources, limit int) int {
	count := float64(limit)
	for _, dimension := range [][2]float64{{r.CPUs, request.CPUs}, {r.GPUs, request.GPUs}, {r.MemoryGB, request.MemoryGB}} {
		available, requested := dimension[0], dimension[1]
		if requested > 0 {
			count = min(count, math.Floor((available+constants.ResourceTolerance)/requested))
		}
	}
	return max(0, int(count))
}

// DominantShare returns the largest of r's shares of the total's CPUs, GPUs and memory. Once a
// machine has run out of one resource, more tasks of the same shape can't use the remaining
// amounts of its other resources. Resources of which the total has none are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, dimension := range [][2]float64{{r.CPUs, total.CPUs}, {r.GPUs, total.GPUs}, {r.MemoryGB, total.MemoryGB}} {
		used, capacity := dimension[0], dimension[1]
		if capacity > 0 {
			share = max(share, used/capacity)
		}
	}
	return share
}

// elementwiseMin returns the smaller of the two amounts of each resource.
func elementwiseMin(a, b Resources) Resources {
	return Resources{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs), min(a.MemoryGB, b.MemoryGB)}
}

// elementwiseMax returns the larger of the two amounts of each resource.
func elementwiseMax(a, b Resources) Resources {
	return Resources{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs), max(a.MemoryGB, b.MemoryGB)}
}
