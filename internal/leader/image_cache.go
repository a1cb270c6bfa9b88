package leader

import (
	"slices"
	"time"

	"thornnotch/internal/workers"
)

// cachedImage is one image on a machine, or on its way there.
type cachedImage struct {
	name    string
	gb      float64
	fetched bool // false: on its way
}

// imageCache is a machine's images as far as they are known here, least recently used
// first.
type imageCache []cachedImage

// has tells whether an image is on the machine.
func (c imageCache) has(name string) bool {
	return slices.ContainsFunc(c, func(image cachedImage) bool { return image.fetched && image.name == name })
}

// use marks an image as used last and drops what no longer fits the machine's cache, as
// the machine does. A capacity of 0 is none that is known.
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
	sum := 0.0
	for i := len(images) - 1; i >= 0; i-- {
		sum += images[i].gb
		if sum > capacityGB && i < len(images)-1 {
			*c = slices.Clone(images[i+1:])
			return
		}
	}
}

// dropFetches drops the images that were on their way: fetches end with the agent's epoch.
func (c *imageCache) dropFetches() {
	var kept imageCache
	for _, image := range *c {
		if image.fetched {
			kept = append(kept, image)
		}
	}
	*c = kept
}

// noteCachedImage follows which images are on the machine.
func (l *Leader) noteCachedImage(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	if job == nil || !provesImage(attempt) {
		return
	}
	known := machine.images.has(job.spec.Image)
	machine.images.use(job.spec.Image, job.spec.ImageGB, true, l.imageCacheGB(machine))
	if !known {
		// The next leader must know too, or it fetches where it need not.
		l.metadataChanged(machine, now)
	}
}

// provesImage tells whether an attempt has come so far that its image is on the machine.
func provesImage(attempt *workers.Attempt) bool {
	switch attempt.Status {
	case workers.StatusWaiting, workers.StatusRunning, workers.StatusSaving:
		return true
	case workers.StatusExited:
		return attempt.Cause == workers.CauseDone
	}
	return false
}

// imageCacheGB is how much the machine's image cache holds; 0 if that is not known.
func (l *Leader) imageCacheGB(machine *machineState) float64 {
	machineType, ok := l.deps.Catalog().Type(machine.agent.MachineType)
	if !ok {
		return 0
	}
	return machineType.CacheGB
}
