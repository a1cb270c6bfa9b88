package workers

import (
	"encoding/json"
	"testing"
)

// BenchmarkDecodeHeartbeat decodes the heartbeat of a machine with eight tasks. Heartbeats
// are most of what the leader reads.
func BenchmarkDecodeHeartbeat(b *testing.B) {
	heartbeat := Heartbeat{
		Machine: "m-000231", Endpoint: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Spot: true,
		Epoch: 1, Sequence: 88, Token: 41,
	}
	for i := range 8 {
		task := TaskID{"j-000412", i}
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{Task: task.String(), Attempt: 2, Status: StatusRunning})
	}
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeHeartbeat(raw); err != nil {
			b.Fatal(err)
		}
	}
}
