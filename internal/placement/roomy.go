package placement

import "math"

// sizeClass groups jobs whose tasks take about as much of a machine, within a factor of
// two, and GPUs or none.
type sizeClass struct {
	gpus bool
	size int // exponent of the largest share that a task takes
}

// roomyClass are the machines that can take any task of a class.
type roomyClass struct {
	least    Resources // that any waiting task of the class takes of each kind
	listed   bool
	machines []*Machine
}

// classOf is the class of a task's need.
func (p *pass) classOf(need Resources) sizeClass {
	_, size := math.Frexp(need.DominantShare(p.largest))
	return sizeClass{need.GPUs > 0, size}
}

// classify sorts the waiting jobs into classes. Where small tasks wait beside large
// ones nearly every machine has room for some task, but few for a large one: each job
// looks only at those that have room for the least of its class.
func (p *pass) classify() {
	for _, r := range p.Machines {
		p.largest = Resources{max(p.largest.CPUs, r.Total.CPUs), max(p.largest.GPUs, r.Total.GPUs), max(p.largest.MemoryGB, r.Total.MemoryGB)}
	}
	p.classes = make(map[sizeClass]*roomyClass)
	for _, j := range p.Jobs {
		need := TaskResources(j.Spec)
		c := p.classes[p.classOf(need)]
		if c == nil {
			p.classes[p.classOf(need)] = &roomyClass{least: need}
			continue
		}
		c.least = Resources{min(c.least.CPUs, need.CPUs), min(c.least.GPUs, need.GPUs), min(c.least.MemoryGB, need.MemoryGB)}
	}
}

// roomyFor are the machines that may have room for a task of the job, in their order.
// Room only shrinks during a pass, so what is left out once has none later either.
func (p *pass) roomyFor(j *Job) []*Machine {
	c := p.classes[p.classOf(TaskResources(j.Spec))]
	if p.thorough || c == nil {
		p.plan.Examined += len(p.roomy)
		return p.roomy
	}
	if !c.listed {
		c.listed = true
		for _, r := range p.roomy {
			if r.Total.Sub(r.used).Fits(c.least) {
				c.machines = append(c.machines, r)
			}
		}
	}
	p.plan.Examined += len(c.machines)
	return c.machines
}
