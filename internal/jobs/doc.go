// Package jobs defines what a job is (protocol, "Users -> controller nodes"): its
// specification as users submit it, its records in the state service, and the admission check
// that rejects jobs that can never run. It doesn't serve requests.
package jobs
