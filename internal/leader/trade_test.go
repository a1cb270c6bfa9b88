package leader

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/fleet"
	"thornnotch/internal/market"
	"thornnotch/internal/term"
	"thornnotch/internal/tuning"
)

func testLeader(t *testing.T) *Leader {
	t.Helper()
	set := &config.Settings{Params: config.Params{Teams: []config.Team{{Name: "a", GPUs: 8, GPUsMax: 16}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 37, GangPeerS: 8, GangWaitS: 30},
		State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 12}, Cloud: config.Cloud{RPS: 2, ListLagS: 5}}}
	cat := &market.Catalog{RigTypes: []market.RigType{{SKU: "g4", VCPUs: 32, Accelerators: 4, RAMGB: 256, CacheGB: 80, PullGBPerS: 1,
		Rate: 10, MarketPrice: 5, ReadyS: 25, Halls: []string{"east", "west"}}}}
	l := New(Deps{Settings: set, Operator: config.DefaultOperator(), Catalog: func() *market.Catalog { return cat },
		Log: slog.New(slog.DiscardHandler)}, term.Grant{Term: 3, Stamp: 7})
	l.loaded = true
	return l
}

// addRig gives the leader a machine that has just reported.
func addRig(l *Leader, name, zone string, now time.Time) *rig {
	r := l.rig(name, now)
	r.m.Observe(&fleet.Report{Rig: name, RigType: "g4", Hall: zone, Shift: 1, Tick: 1, Warrant: l.grant.Term}, l.grant.Term, false, now)
	r.m.Answered = now
	return r
}

// TestDarkZoneIsWaitedFor guards against an incident: a zone was cut off for
// 45 s, and all its machines were given up after 37.
func TestDarkZoneIsWaitedFor(t *testing.T) {
	t0 := time.Unix(1000, 0)
	l := testLeader(t)
	for i := range 4 {
		addRig(l, fmt.Sprint("m-e", i), "east", t0)
		addRig(l, fmt.Sprint("m-w", i), "west", t0)
	}
	now := t0.Add(l.lease + tuning.SilentReturn + time.Second)
	for i := range 4 {
		l.rigs[fmt.Sprint("m-w", i)].m.Heard = now
	}
	l.rigs["m-w0"].m.Heard = t0 // one machine of the other zone died
	l.retireRigs(now)
	for name, r := range l.rigs {
		if want := name == "m-w0"; r.leaving != want {
			t.Errorf("%s: leaving %v, want %v", name, r.leaving, want)
		}
	}
	v := l.marketView(now)
	if !v.Refused[market.Pool{Type: "g4", Zone: "east"}] || v.Refused[market.Pool{Type: "g4", Zone: "west"}] {
		t.Errorf("renting in a zone that can't be reached: %v", v.Refused)
	}
	if n := v.Have[market.Pool{Type: "g4", Zone: "east"}]; n != 0 {
		t.Errorf("%d silent machines are counted on", n)
	}
	l.retireRigs(t0.Add(l.lease + tuning.DarkReturn + time.Second))
	if !l.rigs["m-e0"].leaving {
		t.Errorf("a zone that stays dark is never given up")
	}
}
