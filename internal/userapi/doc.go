// Package userapi implements the users' HTTP interface (protocol, "Users -> controller
// nodes"), by which users submit, query and cancel jobs. Every node serves it, whether or not
// it is the leader: each response is either proven by records in the state service or reports
// a final state, which can't change. Package jobs defines what a job is. The argument that no
// two responses contradict each other is in docs/design.md, Safety 9 and 12, and at the
// functions that it depends on.
package userapi
