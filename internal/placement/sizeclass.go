package placement

import "math"

// sizeClass groups jobs by the size of their tasks, within a factor of two, and by whether
// the tasks use GPUs.
type sizeClass struct {
	gpus         bool
	sizeExponent int // binary exponent of the request's dominant share of maxTotal
}

// sizeClassMachines lists the machines with room for the smallest tasks of a class.
type sizeClassMachines struct {
	minRequest Resources // elementwise minimum of the requests of the class's waiting tasks
	listed     bool
	machines   []*Machine
}

func (p *pass) sizeClassOf(request Resources) sizeClass {
	_, exponent := math.Frexp(request.DominantShare(p.maxTotal))
	return sizeClass{request.GPUs > 0, exponent}
}

// initSizeClasses groups the waiting jobs by size class. If both small and large tasks are
// waiting, nearly every machine has room for a small task, but few have room for a large one.
// Each job examines only the machines with room for the smallest tasks of its class.
func (p *pass) initSizeClasses() {
	for _, machine := range p.Machines {
		p.maxTotal = elementwiseMax(p.maxTotal, machine.Total)
	}
	p.sizeClasses = make(map[sizeClass]*sizeClassMachines)
	for _, job := range p.Jobs {
		request := TaskResources(job.Spec)
		key := p.sizeClassOf(request)
		class := p.sizeClasses[key]
		if class == nil {
			p.sizeClasses[key] = &sizeClassMachines{minRequest: request}
			continue
		}
		class.minRequest = elementwiseMin(class.minRequest, request)
	}
}

// minRequest returns the elementwise minimum of the requests of all waiting tasks.
func (p *pass) minRequest() (minimum Resources) {
	for i, job := range p.Jobs {
		request := TaskResources(job.Spec)
		if i == 0 {
			minimum = request
		}
		minimum = elementwiseMin(minimum, request)
	}
	return minimum
}

// candidateMachines returns the machines that may have room for a task of the job, in order of
// name. The list is made only once for each size class: free capacity only shrinks during a
// pass, so a machine without room at that time has none later.
func (p *pass) candidateMachines(job *Job) []*Machine {
	class := p.sizeClasses[p.sizeClassOf(TaskResources(job.Spec))]
	if p.exhaustive || class == nil {
		p.plan.MachinesExamined += len(p.withFreeCapacity)
		return p.withFreeCapacity
	}
	if !class.listed {
		class.listed = true
		for _, machine := range p.withFreeCapacity {
			if machine.unusedResources().Covers(class.minRequest) {
				class.machines = append(class.machines, machine)
			}
		}
	}
	p.plan.MachinesExamined += len(class.machines)
	return class.machines
}
