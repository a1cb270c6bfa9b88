package leader

import (
	"slices"
	"time"

	"thornnotch/internal/workers"
)

// cachedImage is an image that a machine holds or is fetching.
type cachedImage struct {
	name    string
	gb      float64
	fetched bool // false while the fetch is in progress
}

// imageCache is the leader's model of a machine's image cache, least recently used image
// first.
type imageCache []cachedImage

// has reports whether the machine has fetched the named image.
func (c imageCache) has(name string) bool {
	return slices.ContainsFunc(c, func(image cachedImage) bool { return image.fetched && image.name == name })
}

// use marks an image as the most recently used, adding it if necessary, and evicts the least
// recently used ones until the images fit the capacity, as the machine itself does. The image
// just used always stays. A capacity of 0 means unknown: nothing is evicted.
func (c *imageCache) use(name string, gb float64, fetched bool, capacityGB float64) {
	images := *c
	for i, image := range images {
		if image.name == name {
			fetched = fetched || image.fetched
			images = append(images[:i], images[i+1:]...)
			break
		}
	}
	images = append(images, cachedImage{name, gb, fetched})
	*c = images
	if capacityGB <= 0 {
		return
	}
	totalGB := 0.0
	for i := len(images) - 1; i >= 0; i-- {
		totalGB += images[i].gb
		if totalGB > capacityGB && i < len(images)-1 {
			*c = slices.Clone(images[i+1:])
			return
		}
	}
}

// removeUnfetched removes the images that are still being fetched, because fetches end with
// the worker's epoch.
func (c *imageCache) removeUnfetched() {
	var kept imageCache
	for _, image := range *c {
		if image.fetched {
			kept = append(kept, image)
		}
	}
	*c = kept
}

// updateImageCache marks the attempt's image as cached if its status shows that the machine
// has fetched it.
func (l *Leader) updateImageCache(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	if job == nil || !hasFetchedImage(attempt) {
		return
	}
	known := machine.images.has(job.spec.Image)
	machine.images.use(job.spec.Image, job.spec.ImageGB, true, l.imageCacheGB(machine))
	if !known {
		// Recorded for the next leader, which would otherwise have the image fetched again
		// elsewhere.
		l.metadataChanged(machine, now)
	}
}

// hasFetchedImage reports whether the attempt's status implies that its image is on the
// machine.
func hasFetchedImage(attempt *workers.Attempt) bool {
	switch attempt.Status {
	case workers.StatusWaiting, workers.StatusRunning, workers.StatusSaving:
		return true
	case workers.StatusExited:
		return attempt.Cause == workers.CauseDone
	}
	return false
}

// imageCacheGB returns the capacity of the machine's image cache, or 0 if it is unknown.
func (l *Leader) imageCacheGB(machine *machineState) float64 {
	machineType, ok := l.deps.Catalog().Type(machine.worker.MachineType)
	if !ok {
		return 0
	}
	return machineType.CacheGB
}
