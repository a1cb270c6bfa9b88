package constants

// Sizes of the punctuation and names in JSON around what a transaction or a record of the
// leader's log holds (bytes). They are estimates on the safe side: a value must not come
// out larger than the state service takes.
const (
	// LogRecordOverhead is of a record without its contents.
	LogRecordOverhead = 64
	// LogMemberOverhead is of one member of a record besides its name and value.
	LogMemberOverhead = 4
	// LogDoneJobOverhead is of one job's list of completed tasks, besides the job's ID.
	LogDoneJobOverhead = 8
	// LogTaskNumber is of one task in such a list: up to six digits and a comma.
	LogTaskNumber = 7
	// LogDoneRunOverhead is of one run of completed tasks in a checkpoint, besides the
	// job's ID and the bits.
	LogDoneRunOverhead = 40
	// JobWriteOverhead is of one write of another key, besides its value.
	JobWriteOverhead = 200
)
