package leader

import (
	"cmp"
	"slices"
	"time"

	"thornnotch/internal/fleet"
	"thornnotch/internal/intake"
	"thornnotch/internal/market"
	"thornnotch/internal/placement"
	"thornnotch/internal/tuning"
)

// When demand falls, what is left of arrays stands spread over many machines, a
// task or two on each, and every one of them is paid for until the last has ended.
// Tasks that save are moved together then, and the machines go back: returning a
// machine is a ground on which the protocol lets tasks be stopped.

// move is a machine that could be emptied, with what runs on it.
type move struct {
	rig   *rig
	share float64
	tasks []*fleet.Attempt
}

// thin names the machines that little runs on which could go on elsewhere: all of
// it saves, has run long enough for its start to count, and has enough left to be
// worth the move.
func (l *Leader) thin(now time.Time) (out []move) {
	for _, r := range l.sortedRigs() {
		if !r.open(now) || len(r.m.Attempts) == 0 || l.silent(r, now) > l.quiet() {
			continue
		}
		typ, ok := l.d.Catalog().Type(r.m.Type)
		if !ok {
			continue
		}
		total := placement.Room{VCPUs: typ.VCPUs, GPUs: typ.Accelerators, RAM: typ.RAMGB}
		m := move{rig: r, share: l.used(r).Share(total)}
		if m.share > tuning.ThinShare {
			continue
		}
		longest := time.Duration(0)
		for _, a := range r.m.Attempts {
			j := l.jobs[a.ID.Task.Job]
			if j == nil || j.spec.Shape != intake.Sweep || j.spec.SnapshotS <= 0 || a.Halt || a.Status != fleet.Running ||
				a.RanAt.IsZero() || now.Sub(a.RanAt) < tuning.StartCounts {
				m.tasks = nil
				break
			}
			left, _ := l.outlook(j, a, now)
			longest = max(longest, left)
			m.tasks = append(m.tasks, a)
		}
		if len(m.tasks) > 0 && longest >= tuning.MoveWorth {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b move) int { return cmp.Compare(a.share, b.share) })
	return out
}

// gather empties machines that are not wanted any more, as far as what runs there
// finds room and its image on machines that stay.
func (l *Leader) gather(v market.View, keep map[string]market.Want, now time.Time) {
	for _, dark := range l.darkZones(now) {
		if dark {
			return // half of what there is can't be seen
		}
	}
	moves := l.thin(now)
	if len(moves) == 0 {
		return
	}
	byName := make(map[string]move)
	var idle []market.Idle
	for _, m := range moves {
		byName[m.rig.m.Name] = m
		idle = append(idle, market.Idle{Name: m.rig.m.Name, Pool: m.rig.pool(), Images: len(m.rig.images)})
	}
	free := make(map[*rig]placement.Room)
	for _, r := range l.sortedRigs() {
		if _, goes := byName[r.m.Name]; !goes && r.open(now) && r.m.Warrant == l.grant.Term && len(r.m.Attempts) > 0 {
			free[r] = l.room(r)
		}
	}
	gone := 0
	for _, name := range market.Surplus(v, keep, idle) {
		if gone++; gone > tuning.MovesAtOnce {
			return
		}
		m := byName[name]
		taken := make(map[*rig]placement.Room)
		fits := true
		for _, a := range m.tasks {
			j := l.jobs[a.ID.Task.Job]
			to := l.roomFor(j, free, taken)
			if fits = to != nil; !fits {
				break
			}
			taken[to] = taken[to].Add(placement.Need(j.spec))
		}
		if !fits {
			continue
		}
		for r, room := range taken {
			free[r] = free[r].Sub(room)
		}
		l.leave(m.rig, "thin", now)
	}
}

// roomFor finds a machine with room for one more task of a job, and its image.
func (l *Leader) roomFor(j *job, free, taken map[*rig]placement.Room) *rig {
	need := placement.Need(j.spec)
	for _, r := range l.sortedRigs() {
		room, ok := free[r]
		if !ok || !room.Sub(taken[r]).Fits(need) || !placement.Allowed(&j.view, l.shape(r)) {
			continue
		}
		for _, im := range r.images {
			if im.have && im.name == j.spec.Bundle {
				return r
			}
		}
	}
	return nil
}
