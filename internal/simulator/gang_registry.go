package simulator

import "sync"

// GangRegistry lets the tasks of a gang discover each other across machines.
type GangRegistry struct {
	mu        sync.Mutex                   // guards the fields below
	members   map[gangAttempt]map[int]bool // indices of the tasks that have joined
	completed map[gangAttempt]bool
}

// gangAttempt identifies one attempt of a gang. Tasks belong together if they have the same
// job and attempt number.
type gangAttempt struct {
	job     string
	attempt uint64
}

// NewGangRegistry returns an empty registry.
func NewGangRegistry() *GangRegistry {
	return &GangRegistry{members: make(map[gangAttempt]map[int]bool), completed: make(map[gangAttempt]bool)}
}

// join adds a task that starts to wait for the rest of its gang.
func (g *GangRegistry) join(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gangKey := t.gangKey()
	if g.members[gangKey] == nil {
		g.members[gangKey] = make(map[int]bool)
	}
	g.members[gangKey][t.id.Task.Index] = true
}

// leave removes a task that has ended. If completed is true, it marks the gang as completed.
func (g *GangRegistry) leave(t *task, completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members[t.gangKey()], t.id.Task.Index)
	if completed {
		g.completed[t.gangKey()] = true
	}
}

// progress reports whether all tasks of t's gang have joined, and whether the gang has completed.
func (g *GangRegistry) progress(t *task) (allPresent, completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members[t.gangKey()]) == t.job.Tasks, g.completed[t.gangKey()]
}
