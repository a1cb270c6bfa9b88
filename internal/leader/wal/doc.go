// Package wal implements the leader's write-ahead log: the format of its records, their
// batching into transactions, and their replay by the leader of a later term. It does no I/O;
// the caller sends the transactions to the state service (see Writer).
//
// Each term's decisions are written as numbered entries. Entries are stored in a ring of
// keys, whose slots are reused, so no entry needs to be deleted. From time to time the whole
// state is written as a checkpoint, alternating between two areas of keys. Once the last part
// of a checkpoint is committed, the head refers to that checkpoint, and the slots of the
// entries before it may be reused. The entries after it, which a failover has to replay, are
// called live.
//
// The keys and the order of writes are described in docs/design.md (Safety, "The log"), the
// requests in the protocol ("Controller nodes -> state service").
package wal
