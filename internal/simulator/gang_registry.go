package simulator

import "sync"

// GangRegistry lets the tasks of a gang, on whichever machines, find one another.
type GangRegistry struct {
	mu      sync.Mutex // guards all below
	present map[gangAttempt]map[int]bool
	done    map[gangAttempt]bool
}

// gangAttempt is one attempt of a gang: its tasks find one another by the attempt's number.
type gangAttempt struct {
	job    string
	number uint64
}

// NewGangRegistry makes an empty registry.
func NewGangRegistry() *GangRegistry {
	return &GangRegistry{present: make(map[gangAttempt]map[int]bool), done: make(map[gangAttempt]bool)}
}

// join notes that a task waits for the others.
func (g *GangRegistry) join(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := t.gang()
	if g.present[gang] == nil {
		g.present[gang] = make(map[int]bool)
	}
	g.present[gang][t.id.Task.Index] = true
}

// leave notes that a task has ended; done: the gang has completed.
func (g *GangRegistry) leave(t *task, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.present[t.gang()], t.id.Task.Index)
	if done {
		g.done[t.gang()] = true
	}
}

// state tells whether all tasks of a task's gang are present, and whether the gang has completed.
func (g *GangRegistry) state(t *task) (complete, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.present[t.gang()]) == t.job.Tasks, g.done[t.gang()]
}
