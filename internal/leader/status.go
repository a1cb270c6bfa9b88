package leader

// Status is the operators' view of a term.
type Status struct {
	Term         uint64              `json:"term"`
	Machines     []PoolStatus        `json:"machines"`
	Queue        []QueueStatus       `json:"queue"`
	Teams        []TeamStatus        `json:"teams"`
	Reservations []ReservationStatus `json:"holds"`
	Booting      int                 `json:"booting"`
	Leaving      int                 `json:"leaving"`
	Recording    RecordingStatus     `json:"recording"`
	Work         WorkCounts          `json:"work"`
	QueuedEvents int                 `json:"callsWaiting"`
}

// RecordingStatus shows whether state can be written to the state service, and for how
// long cancellations may have been missed.
type RecordingStatus struct {
	Healthy    bool    `json:"healthy"`
	StalenessS float64 `json:"sureS"` // time since all cancellations were last known
	// Backlog is the number of log entries that a failover would read in addition to the last
	// checkpoint. InFlightS is how long the transaction in flight has taken.
	Backlog   int     `json:"backlog"`
	InFlightS float64 `json:"unwrittenS"`
}

// PoolStatus counts the machines of one type, zone and purchase option.
type PoolStatus struct {
	Type string  `json:"type"`
	Zone string  `json:"zone"`
	Spot bool    `json:"spot"`
	Up   int     `json:"up"`
	Busy int     `json:"busy"`
	GPUs float64 `json:"gpusUsed"`
	// UsedMachines is the utilization in units of whole machines, counting each task by its
	// dominant resource. It is the meaningful figure for machines without GPUs.
	UsedMachines float64 `json:"machinesUsed"`
	// Faulty counts machines considered faulty that have not been returned yet.
	Faulty int `json:"faulty"`
}

// QueueStatus counts the jobs and tasks of one team and class.
type QueueStatus struct {
	Class string `json:"class"`
	Team  string `json:"team"`
	Jobs  int    `json:"jobs"`
	// BlockedJobs counts the jobs that wait for other jobs.
	BlockedJobs  int `json:"jobsWaitingForOthers"`
	WaitingTasks int `json:"tasksWaiting"`
	RunningTasks int `json:"tasksRunning"`
	DoneTasks    int `json:"tasksDone"`
}

// TeamStatus shows a team's resource usage, including its reservations, and its quotas.
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

// ReservationStatus shows a reservation and the time until it expires.
type ReservationStatus struct {
	Machine    string  `json:"rig"`
	Team       string  `json:"team"`
	Class      string  `json:"class"`
	Job        string  `json:"job"` // the downstream job
	CPUs       float64 `json:"cpus"`
	GPUs       float64 `json:"gpus"`
	ExpiresInS float64 `json:"lapsesInS"`
}
