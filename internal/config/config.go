// Package config decodes and checks the platform's settings file (TOML) and
// the operators' own (YAML).
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the file that the platform hands over. Unknown fields are
// ignored: new ones may be added at any time.
type Settings struct {
	NodeName   string   `toml:"label"`
	Site       string   `toml:"site"`
	Listen     string   `toml:"listen"`
	PeerListen string   `toml:"mesh_addr"`
	Peers      []Peer   `toml:"known"`
	Services   Services `toml:"services"`
	Params     Params   `toml:"params"`
}

// Peer is another controller node.
type Peer struct {
	Name string `toml:"label"`
	Site string `toml:"site"`
	Addr string `toml:"addr"`
}

// Services are the addresses of the outside systems.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params are the settings that all nodes share.
type Params struct {
	Count         int           `toml:"count"`
	Zones         []string      `toml:"zones"`
	ClockOffMS    float64       `toml:"clock_off_ms"`
	Teams         []Team        `toml:"teams"`
	SLOs          []SLO         `toml:"objectives"`
	Workers       WorkerTimings `toml:"workers"`
	State         StateLimits   `toml:"state"`
	Cloud         CloudLimits   `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// Team has a guaranteed level and a limit; 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Kinds of aims that the service goes by. Others are ignored: new ones may come.
const (
	SLOWait       = "wait"      // a job's tasks started within a time
	SLOCompletion = "finished"  // a job done within a time
	SLODeadline   = "deadline"  // a job done by so many times its due time
	SLOGuarantee  = "guarantee" // what fits its team's guarantee started within a time
)

// SLO is one aim of the users.
type SLO struct {
	Kind          string   `toml:"kind"`
	Class         string   `toml:"class"`
	WithinS       float64  `toml:"within_s"`
	Share         *float64 `toml:"share"`
	DueTimeFactor *float64 `toml:"times"`
}

// DueFactor is by how many times its due time a job is to be done, for an aim of kind
// deadline.
func (o SLO) DueFactor() float64 {
	if o.DueTimeFactor == nil {
		return 1
	}
	return *o.DueTimeFactor
}

func (o SLO) check(p *problems, key string) {
	switch o.Kind {
	case SLOWait, SLOCompletion, SLOGuarantee:
		p.positive(key+".within_s", o.WithinS)
	case SLODeadline:
		if o.DueTimeFactor != nil {
			p.positive(key+".times", *o.DueTimeFactor)
		}
	default:
		return
	}
	if o.Kind != SLOGuarantee {
		p.text(key+".class", o.Class)
	}
	switch {
	case o.Share == nil:
		p.add(key+".share", "is missing")
	case !(*o.Share > 0 && *o.Share <= 1):
		p.add(key+".share", "must be above 0 and at most 1, is %v", *o.Share)
	}
}

// WorkerTimings are the workers' timings, in seconds.
type WorkerTimings struct {
	HeartbeatS    float64 `toml:"report_s"`
	LeaseS        float64 `toml:"lease_s"`
	GangWaitS     float64 `toml:"gang_wait_s"`
	GangPeerS     float64 `toml:"gang_peer_s"`
	CancelWithinS float64 `toml:"cancel_s"`
}

// StateLimits limit the calls to the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are limits that hold from some moment on, without notice; nil: none.
	Next *UpcomingStateLimits `toml:"next"`
}

// UpcomingStateLimits are limits to come. What is not named stays.
type UpcomingStateLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// least has values and transactions keep within the smaller of both limits from
// the start: a larger one may be under way when the limits fall.
func (s StateLimits) withUpcomingSizes() StateLimits {
	if s.Next != nil && s.Next.ValueKB != nil {
		s.ValueKB = min(s.ValueKB, *s.Next.ValueKB)
	}
	if s.Next != nil && s.Next.TxnOps != nil {
		s.TxnOps = min(s.TxnOps, *s.Next.TxnOps)
	}
	return s
}

// Rates are the rates allowed now, or those to come once they have fallen.
func (s StateLimits) Rates(fallen bool) (rps, writeRPS float64) {
	rps, writeRPS = s.RPS, s.WriteRPS
	if fallen && s.Next != nil && s.Next.RPS != nil {
		rps = min(rps, *s.Next.RPS)
	}
	if fallen && s.Next != nil && s.Next.WriteRPS != nil {
		writeRPS = min(writeRPS, *s.Next.WriteRPS)
	}
	return rps, writeRPS
}

// CloudLimits limit the calls to the cloud.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits are the node's own machine.
type MachineLimits struct {
	Cores   float64 `toml:"cores"`
	MemMB   float64 `toml:"mem_mb"`
	Sockets int     `toml:"sockets"`
}

// Seconds turns a setting in seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks a settings file. The error names every problem with
// its key.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(string(raw))
}

// Parse decodes and checks the text of a settings file.
func Parse(text string) (*Settings, error) {
	var s Settings
	if _, err := toml.Decode(text, &s); err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, fmt.Errorf("settings: line %d: %s", pe.Position.Line, pe.Message)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Params.State = s.Params.State.withUpcomingSizes()
	return &s, nil
}

type problems []error

func (p *problems) add(key, format string, args ...any) {
	*p = append(*p, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
}

func (p *problems) addr(key, v string) {
	if v == "" {
		p.add(key, "is missing")
		return
	}
	if _, port, err := net.SplitHostPort(v); err != nil || port == "" {
		p.add(key, "%q is not HOST:PORT", v)
	}
}

func (p *problems) text(key, v string) {
	if strings.TrimSpace(v) == "" {
		p.add(key, "is missing")
	}
}

func (p *problems) positive(key string, v float64) {
	if !(v > 0 && v < 1e9) {
		p.add(key, "must be above 0, is %v", v)
	}
}

func (p *problems) amount(key string, v float64) {
	if !(v >= 0 && v < 1e9) {
		p.add(key, "must be 0 or more, is %v", v)
	}
}

func (s *Settings) check() error {
	var p problems
	p.text("label", s.NodeName)
	p.text("site", s.Site)
	p.addr("listen", s.Listen)
	p.addr("mesh_addr", s.PeerListen)
	p.addr("services.cloud", s.Services.Cloud)
	p.addr("services.state", s.Services.State)
	seen := map[string]bool{s.NodeName: true}
	for i, k := range s.Peers {
		key := fmt.Sprintf("known[%d]", i)
		p.text(key+".label", k.Name)
		p.addr(key+".addr", k.Addr)
		if seen[k.Name] {
			p.add(key+".label", "%q stands twice", k.Name)
		}
		seen[k.Name] = true
	}
	if s.Params.Count < 1 {
		p.add("params.count", "must be 1 or more, is %d", s.Params.Count)
	}
	if len(s.Params.Teams) == 0 {
		p.add("params.teams", "is missing")
	}
	teams := map[string]bool{}
	for i, t := range s.Params.Teams {
		key := fmt.Sprintf("params.teams[%d]", i)
		p.text(key+".name", t.Name)
		if teams[t.Name] {
			p.add(key+".name", "%q stands twice", t.Name)
		}
		teams[t.Name] = true
		p.amount(key+".cpus", t.GuaranteedCPUs)
		p.amount(key+".cpus_max", t.MaxCPUs)
		p.amount(key+".gpus", t.GuaranteedGPUs)
		p.amount(key+".gpus_max", t.MaxGPUs)
		if t.MaxCPUs > 0 && t.GuaranteedCPUs > t.MaxCPUs {
			p.add(key+".cpus", "is above cpus_max")
		}
		if t.MaxGPUs > 0 && t.GuaranteedGPUs > t.MaxGPUs {
			p.add(key+".gpus", "is above gpus_max")
		}
	}
	for i, o := range s.Params.SLOs {
		o.check(&p, fmt.Sprintf("params.objectives[%d]", i))
	}
	w := s.Params.Workers
	p.positive("params.workers.report_s", w.HeartbeatS)
	p.positive("params.workers.lease_s", w.LeaseS)
	p.positive("params.workers.gang_wait_s", w.GangWaitS)
	p.positive("params.workers.gang_peer_s", w.GangPeerS)
	p.positive("params.workers.cancel_s", w.CancelWithinS)
	if w.CancelWithinS > 0 && w.CancelWithinS <= w.LeaseS {
		p.add("params.workers.cancel_s", "must be above lease_s, or no cancellation can be kept")
	}
	p.positive("params.state.rps", s.Params.State.RPS)
	p.positive("params.state.write_rps", s.Params.State.WriteRPS)
	p.positive("params.state.value_kb", s.Params.State.ValueKB)
	if s.Params.State.TxnOps < 4 {
		p.add("params.state.txn_ops", "must be 4 or more, is %d", s.Params.State.TxnOps)
	}
	if n := s.Params.State.Next; n != nil {
		for key, v := range map[string]*float64{"rps": n.RPS, "write_rps": n.WriteRPS, "value_kb": n.ValueKB} {
			if v != nil {
				p.positive("params.state.next."+key, *v)
			}
		}
		if n.TxnOps != nil && *n.TxnOps < 4 {
			p.add("params.state.next.txn_ops", "must be 4 or more, is %d", *n.TxnOps)
		}
	}
	p.positive("params.cloud.rps", s.Params.Cloud.RPS)
	p.amount("params.cloud.list_lag_s", s.Params.Cloud.ListLagS)
	p.amount("params.machine_limits.cores", s.Params.MachineLimits.Cores)
	p.amount("params.machine_limits.mem_mb", s.Params.MachineLimits.MemMB)
	if s.Params.MachineLimits.Sockets < 0 {
		p.add("params.machine_limits.sockets", "must be 0 or more, is %d", s.Params.MachineLimits.Sockets)
	}
	return errors.Join(p...)
}
