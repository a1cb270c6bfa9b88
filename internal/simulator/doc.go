// Package simulator implements in-process fakes of the external systems that a controller
// node talks to. They follow the protocol of these systems. The tests of a node and
// `thornnotch demo` use them together; each can also be used alone to test a client of its
// system:
//
//   - StateService is the consensus-backed key-value store, an http.Handler;
//   - Cloud rents and returns machines, an http.Handler;
//   - Worker is a machine that runs tasks, sends heartbeats and receives commands;
//   - Network connects hosts within one process, and can break and delay their connections;
//   - ServeSite serves a whole site on loopback.
//
// The fakes keep all state in memory, and enforce size and rate limits only if a test sets them.
// Tests can inject faults: outages, lost and delayed replies, network partitions, and hanging
// and faulty machines.
package simulator
