package leader

// Status is the state of a term as operators see it.
type Status struct {
	Term          uint64          `json:"term"`
	Machines      []PoolStatus    `json:"machines"`
	Queue         []QueueStatus   `json:"queue"`
	Teams         []TeamStatus    `json:"teams"`
	Holds         []HoldStatus    `json:"holds"`
	Booting       int             `json:"booting"`
	Leaving       int             `json:"leaving"`
	Recording     RecordingStatus `json:"recording"`
	Work          WorkCounts      `json:"work"`
	EventsWaiting int             `json:"callsWaiting"`
}

// RecordingStatus tells whether records can be written.
type RecordingStatus struct {
	Healthy     bool    `json:"healthy"`
	SinceProofS float64 `json:"sureS"` // since all cancellations were certainly known
	// Backlog is the number of log entries that a failover would read on top
	// of the last checkpoint; UnwrittenS how long the oldest transaction under
	// way has taken.
	Backlog    int     `json:"backlog"`
	UnwrittenS float64 `json:"unwrittenS"`
}

// PoolStatus counts the machines of one pool.
type PoolStatus struct {
	Type string  `json:"type"`
	Zone string  `json:"zone"`
	Spot bool    `json:"spot"`
	Up   int     `json:"up"`
	Busy int     `json:"busy"`
	GPUs float64 `json:"gpusUsed"`
	// Used is the same in whole machines, each task by the resource that it
	// takes most of: what counts where machines have no GPUs.
	Used float64 `json:"machinesUsed"`
	// Faulty are those taken for faulty that have not been returned yet.
	Faulty int `json:"faulty"`
}

// QueueStatus counts one team's jobs of one class.
type QueueStatus struct {
	Class string `json:"class"`
	Team  string `json:"team"`
	Jobs  int    `json:"jobs"`
	// Blocked are those of them that wait for other jobs.
	Blocked int `json:"jobsWaitingForOthers"`
	Waiting int `json:"tasksWaiting"`
	Running int `json:"tasksRunning"`
	Done    int `json:"tasksDone"`
}

// TeamStatus is what a team uses of its levels, held room included.
type TeamStatus struct {
	Team           string  `json:"team"`
	CPUs           float64 `json:"cpus"`
	GPUs           float64 `json:"gpus"`
	ReservedCPUs   float64 `json:"cpusHeld"`
	ReservedGPUs   float64 `json:"gpusHeld"`
	GuaranteedCPUs float64 `json:"cpusGuaranteed"`
	GuaranteedGPUs float64 `json:"gpusGuaranteed"`
	MaxCPUs        float64 `json:"cpusLimit"`
	MaxGPUs        float64 `json:"gpusLimit"`
}

// HoldStatus is one hold with the time until it lapses.
type HoldStatus struct {
	Machine    string  `json:"rig"`
	Team       string  `json:"team"`
	Class      string  `json:"class"`
	Job        string  `json:"job"`
	CPUs       float64 `json:"cpus"`
	GPUs       float64 `json:"gpus"`
	ExpiresInS float64 `json:"lapsesInS"`
}
