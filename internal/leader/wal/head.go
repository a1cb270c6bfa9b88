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
	// smallRingPrefix is of the ring that every version reads.
	smallRingPrefix = Prefix + "r/"
	// largeRingPrefix is of the ring for large fleets, which versions before 0.2.0's
	// release do not read.
	largeRingPrefix = Prefix + "w/"
	// areaA and areaB are the areas that checkpoints are written to by turns.
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

// Head says which records of the log count. Every transaction of a leader sets it and is
// conditioned on the revision that the one before gave it, so that no transaction can be
// carried out twice, or after a later one.
type Head struct {
	// Term and Turn name the transaction that wrote the head.
	Term uint64 `json:"term"`
	Turn uint64 `json:"turn"`
	// Entries from From up to Next, without it, count on top of the checkpoint.
	From uint64 `json:"from"`
	Next uint64 `json:"next"`
	// Area and Parts say where the newest whole checkpoint stands, and of how many
	// parts it is; Area is empty while there is none.
	Area  string `json:"area,omitempty"`
	Parts int    `json:"parts,omitempty"`
	// Ring is the number of slots of the large ring, in which entries from RingFrom on
	// stand; 0: all are in the ring that every version reads. A version that does not
	// know the large ring finds an entry missing, and so decides nothing.
	Ring     uint64 `json:"ring,omitempty"`
	RingFrom uint64 `json:"ringFrom,omitempty"`
}

// entryKey is the key at which an entry stands.
func (h Head) entryKey(seq uint64) string {
	if h.Ring > 0 && seq >= h.RingFrom {
		return largeRingKey(seq, h.Ring)
	}
	return smallRingKey(seq)
}

// ringSize is how many entries may count at a time.
func (h Head) ringSize() int {
	if h.Ring > 0 {
		return int(h.Ring)
	}
	return constants.LogRingSize
}

// Prefixes are those of the keys that a failover must read besides the head: of the
// checkpoint and of the entries on top of it. Keys of the large ring are listed by the
// hundred, as most of that ring does not count at a time.
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

// largeRingPrefixes cover the slots of the large ring that hold entries which count.
func (h Head) largeRingPrefixes() []string {
	var prefixes []string
	last := ""
	for seq := max(h.From, h.RingFrom); seq < h.Next; seq++ {
		key := largeRingKey(seq, h.Ring)
		if hundred := key[:len(key)-2]; hundred != last {
			prefixes = append(prefixes, hundred)
			last = hundred
		}
	}
	return prefixes
}
