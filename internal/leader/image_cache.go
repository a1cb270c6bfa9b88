package leader

import (
	"time"

	"thornnotch/internal/workers"
)

// image is one image on a machine, or on its way there.
type image struct {
	name string
	gb   float64
	have bool
}

// noteCachedImage follows which images are on the machine.
func (l *Leader) noteCachedImage(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	if job == nil {
		return
	}
	have := attempt.Status == workers.StatusWaiting || attempt.Status == workers.StatusRunning || attempt.Status == workers.StatusSaving ||
		attempt.Status == workers.StatusExited && attempt.Cause == workers.CauseDone
	if !have {
		return
	}
	known := false
	for _, im := range machine.images {
		known = known || im.name == job.spec.Image && im.have
	}
	machine.useImage(job.spec.Image, job.spec.ImageGB, true, l.imageCacheGB(machine))
	if !known {
		// The next leader must know too, or it fetches where it need not.
		l.metadataChanged(machine, now)
	}
}

func (l *Leader) imageCacheGB(machine *machineState) float64 {
	t, ok := l.deps.Catalog().Type(machine.agent.MachineType)
	if !ok {
		return 0
	}
	return t.CacheGB
}

// useImage marks an image as used last and drops what no longer fits.
func (m *machineState) useImage(name string, gb float64, have bool, cache float64) {
	for i, im := range m.images {
		if im.name == name {
			have = have || im.have
			m.images = append(m.images[:i], m.images[i+1:]...)
			break
		}
	}
	m.images = append(m.images, image{name, gb, have})
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		sum += m.images[i].gb
		if cache > 0 && sum > cache && i < len(m.images)-1 {
			m.images = append([]image(nil), m.images[i+1:]...)
			return
		}
	}
}

// keepImages drops fetches that ended with the session.
func keepImages(in []image) (out []image) {
	for _, im := range in {
		if im.have {
			out = append(out, im)
		}
	}
	return out
}
