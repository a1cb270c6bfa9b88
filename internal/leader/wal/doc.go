// Package wal is the leader's write-ahead log: the form of its records, how they are
// packed into transactions, and how the leader of a later term reads them back. It does
// no I/O; its user carries transactions to the state service (see Writer).
//
// The decisions of a term go into numbered entries. Entries stand in a ring of keys, so
// that none need be removed. From time to time the whole state is written anew, as a
// checkpoint in one of two areas of keys, by turns. Once the last part of a checkpoint
// stands, the head names it, and the slots of the entries before it may be used again.
//
// The keys and the order of writes are described in docs/design.md (Safety, "The log"),
// the calls they are made of in the protocol ("Controller nodes -> state service").
package wal
