package leader

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"thornnotch/internal/fleet"
	"thornnotch/internal/placement"
	"thornnotch/internal/reserve"
)

// Keys of the leader's records.
const (
	rigPrefix = "rig/"
	didPrefix = "did/"
)

// rigRecord is what is kept of one machine: the attempts that may be on it,
// the room held there and the images that it has.
type rigRecord struct {
	Type     string       `json:"t,omitempty"`
	Zone     string       `json:"z,omitempty"`
	Spot     bool         `json:"s,omitempty"`
	Endpoint string       `json:"e,omitempty"`
	Shift    uint64       `json:"h,omitempty"`
	Leaving  bool         `json:"l,omitempty"`
	Attempts []attemptRec `json:"a,omitempty"`
	// Jobs gives owner and size of the attempts' jobs: a job may be over
	// while a task of it still stands on a machine and counts.
	Jobs   map[string]jobRec `json:"j,omitempty"`
	Holds  []holdRec         `json:"o,omitempty"`
	Images []imageRec        `json:"i,omitempty"`
}

type attemptRec struct {
	Piece string `json:"p"`
	Try   uint64 `json:"t"`
	Shift uint64 `json:"h"`
}

type jobRec struct {
	Owner string  `json:"w"`
	Room  roomRec `json:"r"`
}

// roomRec is CPUs, GPUs and memory, in this order.
type roomRec [3]float64

func (r roomRec) room() placement.Room { return placement.Room{VCPUs: r[0], GPUs: r[1], RAM: r[2]} }

func recordRoom(r placement.Room) roomRec { return roomRec{r.VCPUs, r.GPUs, r.RAM} }

type holdRec struct {
	Owner    string  `json:"w"`
	Workload string  `json:"k"`
	Up       string  `json:"u"`
	Down     string  `json:"d"`
	Priority int     `json:"p"`
	Room     roomRec `json:"r"`
	Expires  int64   `json:"x"` // Unix time, ms
}

type imageRec struct {
	Name string  `json:"n"`
	GB   float64 `json:"g"`
}

func (h holdRec) hold(rig string) reserve.Hold {
	return reserve.Hold{
		Rig: rig, Pipeline: placement.Pipeline{Owner: h.Owner, Workload: h.Workload},
		Upstream: h.Up, Downstream: h.Down, Priority: h.Priority,
		Room: h.Room.room(), Expires: time.UnixMilli(h.Expires),
	}
}

func recordHold(h reserve.Hold) holdRec {
	return holdRec{h.Pipeline.Owner, h.Pipeline.Workload, h.Upstream, h.Downstream, h.Priority,
		recordRoom(h.Room), h.Expires.UnixMilli()}
}

func didKey(job string, chunk int) string { return fmt.Sprintf("%s%s/%d", didPrefix, job, chunk) }

func parseDidKey(key string) (job string, chunk int, ok bool) {
	job, c, ok := strings.Cut(strings.TrimPrefix(key, didPrefix), "/")
	chunk, err := strconv.Atoi(c)
	return job, chunk, ok && err == nil && chunk >= 0
}

func encodeChunk(raw []byte) json.RawMessage {
	out, _ := json.Marshal(base64.StdEncoding.EncodeToString(raw)) // a string always encodes
	return out
}

func decodeChunk(v json.RawMessage) ([]byte, error) {
	var s string
	if err := json.Unmarshal(v, &s); err != nil {
		return nil, err
	}
	return base64.StdEncoding.DecodeString(s)
}

func attemptOf(r attemptRec, now time.Time) (*fleet.Attempt, error) {
	task, err := fleet.ParseTaskID(r.Piece)
	if err != nil {
		return nil, err
	}
	return &fleet.Attempt{ID: fleet.AttemptID{Task: task, Try: r.Try}, Shift: r.Shift,
		Committed: true, Cleared: true, Inherited: true, Sent: true, PlannedAt: now}, nil
}
