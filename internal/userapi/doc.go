// Package userapi is the users' HTTP interface (protocol, "Users -> controller nodes"): it
// accepts, reports and cancels jobs. Every node serves it by itself, from the records in
// the state service; what a job is, package jobs defines.
package userapi
