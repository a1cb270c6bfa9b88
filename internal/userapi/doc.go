// Package userapi is the users' HTTP interface (protocol, "Users -> controller nodes"): it
// accepts, reports and cancels jobs. Every node serves it by itself, whoever leads: what it
// says of a job is proven by the records in the state service, or is final and can't change.
// What a job is, package jobs defines. Why no user is ever told something that another answer
// contradicts is argued in docs/design.md, Safety 9 and 12, and at the functions that keep it.
package userapi
