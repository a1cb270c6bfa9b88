package intake

// Keys of the users' records. A job is below one prefix or the other: it
// moves in one transaction, so a reader that looks at open first and final
// second never misses it.
const (
	OpenPrefix  = "open/"
	FinalPrefix = "final/"
)

// Final is what is kept of a job for ever.
type Final struct {
	Status string `json:"status"`
	Pieces int    `json:"pieces"`
}

// Record is what is kept of an open job. It never changes.
type Record struct {
	Job
	// AtMS is when the job was accepted, in Unix milliseconds.
	AtMS int64 `json:"atMs"`
}
