// Package simulator holds small servers that stand in for the outside systems, written from
// their protocol. Tests of a controller node use them, as does `thornnotch demo`; each works
// alone too, to test a client of that system:
//
//   - StateService, the consensus-backed key-value store, an http.Handler;
//   - Cloud, which rents machines, an http.Handler;
//   - Worker, a machine that runs tasks, with heartbeats out and commands in;
//   - Network, which connects hosts within one process, and cuts and delays them;
//   - ServeSite, all of a site on loopback.
//
// They run in one process, write nothing to disk, and have rate limits only where a test
// sets them. Faults are part of their interface: outages, lost answers, cuts, hanging and
// faulty machines.
package simulator
