package wal

import (
	"fmt"

	"thornnotch/internal/constants"
)

// Keys of the log in the state service.
const (
	// Prefix is common to all keys of the log.
	Prefix = "log/"
	// HeadKey is the key of the Head.
	HeadKey = Prefix + "head"
	// smallRingPrefix is the prefix of the ring that every version can read.
	smallRingPrefix = Prefix + "r/"
	// largeRingPrefix is the prefix of the ring for large fleets, which versions before the
	// release of 0.2.0 can't read.
	largeRingPrefix = Prefix + "w/"
	// areaA and areaB are the two areas between which checkpoints alternate.
	areaA = "a"
	areaB = "b"
)

func smallRingKey(seq uint64) string {
	return fmt.Sprintf("%s%04d", smallRingPrefix, seq%constants.LogRingSize)
}

func largeRingKey(seq, ringSize uint64) string {
	return fmt.Sprintf("%s%05d", largeRingPrefix, seq%ringSize)
}

func partKey(area string, number int) string {
	return fmt.Sprintf("%s%s/%04d", Prefix, area, number)
}

// Head defines which checkpoint and which entries are live. Every transaction of a leader
// writes the head and is conditioned on the revision that the previous transaction gave it,
// so no transaction can be executed twice or after a later one.
type Head struct {
	// Term and TxnSeq identify the transaction that wrote the head.
	Term   uint64 `json:"term"`
	TxnSeq uint64 `json:"turn"`
	// The entries from From up to but not including Next are replayed on top of the
	// checkpoint.
	From uint64 `json:"from"`
	Next uint64 `json:"next"`
	// Area and Parts locate the newest complete checkpoint and give its number of parts. Area
	// is empty if there is no checkpoint.
	Area  string `json:"area,omitempty"`
	Parts int    `json:"parts,omitempty"`
	// Ring is the number of slots of the large ring, which holds the entries from RingFrom
	// on. If it is 0, all entries are in the small ring, which every version can read. A
	// version that does not know the large ring finds an entry missing and therefore makes no
	// decisions.
	Ring     uint64 `json:"ring,omitempty"`
	RingFrom uint64 `json:"ringFrom,omitempty"`
}

// entryKey returns the key that holds an entry.
func (h Head) entryKey(seq uint64) string {
	if h.Ring > 0 && seq >= h.RingFrom {
		return largeRingKey(seq, h.Ring)
	}
	return smallRingKey(seq)
}

// ringSize returns the maximum number of live entries.
func (h Head) ringSize() int {
	if h.Ring > 0 {
		return int(h.Ring)
	}
	return constants.LogRingSize
}

// Prefixes returns the prefixes of the keys that a failover must read besides the head: those
// of the checkpoint and of the entries on top of it. The large ring is listed in blocks of
// 100 slots, because most of it is not live at any one time.
func (h Head) Prefixes() []string {
	var prefixes []string
	if h.Area != "" {
		prefixes = append(prefixes, Prefix+h.Area+"/")
	}
	if h.Next > h.From && (h.Ring == 0 || h.From < h.RingFrom) {
		prefixes = append(prefixes, smallRingPrefix)
	}
	if h.Ring > 0 {
		prefixes = append(prefixes, h.largeRingPrefixes()...)
	}
	return prefixes
}

// largeRingPrefixes returns prefixes that cover all live slots of the large ring.
func (h Head) largeRingPrefixes() []string {
	var prefixes []string
	lastPrefix := ""
	for seq := max(h.From, h.RingFrom); seq < h.Next; seq++ {
		key := largeRingKey(seq, h.Ring)
		if prefix := key[:len(key)-2]; prefix != lastPrefix {
			prefixes = append(prefixes, prefix)
			lastPrefix = prefix
		}
	}
	return prefixes
}
