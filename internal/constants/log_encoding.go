package constants

// Sizes of the JSON punctuation and names in the leader's log and transactions, in bytes. They
// are upper estimates: an encoded value must not exceed the size limit of the state service.
const (
	// LogRecordOverhead is the size of a record without its contents.
	LogRecordOverhead = 64
	// LogMemberOverhead is the size of one member of a record without its name and value.
	LogMemberOverhead = 4
	// LogDoneJobOverhead is the size of a job's list of completed tasks without the job's ID
	// and the task numbers.
	LogDoneJobOverhead = 8
	// LogTaskNumberBytes is the size of one task in such a list: up to six digits and a comma.
	LogTaskNumberBytes = 7
	// LogDoneRunOverhead is the size of a run of completed tasks in a checkpoint without the
	// job's ID and the bitmap.
	LogDoneRunOverhead = 40
	// JobWriteOverhead is the size of one write to a job's records without the value.
	JobWriteOverhead = 200
)
