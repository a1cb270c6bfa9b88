// Package jobs defines what a job is (protocol, "Users -> controller nodes"): its
// specification as users submit it, the records that the state service keeps of it, and the
// check at admission whether it can ever run. It serves no requests.
package jobs
