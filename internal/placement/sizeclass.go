package placement

import "math"

// sizeClass groups jobs whose tasks take about as much of a machine, within a factor of
// two, and GPUs or none.
type sizeClass struct {
	gpus         bool
	sizeExponent int // binary exponent of the dominant share of the largest machine
}

// sizeClassMachines are the machines that can take any task of a class.
type sizeClassMachines struct {
	smallest Resources // the least that any waiting task of the class requests of each kind
	listed   bool
	machines []*Machine
}

func (p *pass) sizeClassOf(request Resources) sizeClass {
	_, exponent := math.Frexp(request.DominantShare(p.largestTotal))
	return sizeClass{request.GPUs > 0, exponent}
}

// initSizeClasses sorts the waiting jobs into size classes. Where small tasks wait beside
// large ones nearly every machine has room for some task, but few for a large one: each
// job examines only the machines that have room for the smallest of its class.
func (p *pass) initSizeClasses() {
	for _, machine := range p.Machines {
		p.largestTotal = maxEach(p.largestTotal, machine.Total)
	}
	p.sizeClasses = make(map[sizeClass]*sizeClassMachines)
	for _, job := range p.Jobs {
		request := TaskResources(job.Spec)
		key := p.sizeClassOf(request)
		class := p.sizeClasses[key]
		if class == nil {
			p.sizeClasses[key] = &sizeClassMachines{smallest: request}
			continue
		}
		class.smallest = minEach(class.smallest, request)
	}
}

// smallestRequest is the least that any waiting task requests of each kind.
func (p *pass) smallestRequest() (smallest Resources) {
	for i, job := range p.Jobs {
		request := TaskResources(job.Spec)
		if i == 0 {
			smallest = request
		}
		smallest = minEach(smallest, request)
	}
	return smallest
}

// machinesFor are the machines that may have room for a task of the job, in their order.
// Room only shrinks during a pass, so a machine that is left out once has none later.
func (p *pass) machinesFor(job *Job) []*Machine {
	class := p.sizeClasses[p.sizeClassOf(TaskResources(job.Spec))]
	if p.exhaustive || class == nil {
		p.plan.Examined += len(p.withRoom)
		return p.withRoom
	}
	if !class.listed {
		class.listed = true
		for _, machine := range p.withRoom {
			if machine.unused().Fits(class.smallest) {
				class.machines = append(class.machines, machine)
			}
		}
	}
	p.plan.Examined += len(class.machines)
	return class.machines
}
