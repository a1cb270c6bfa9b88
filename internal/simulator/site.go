package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// logJudge logs what runs where.
type logJudge struct{ log *slog.Logger }

func (l logJudge) TaskStarted(machine, zone string, _ bool, t workers.TaskID, try uint64, _ *jobs.Spec) {
	l.log.Info("task on machine", "piece", t, "try", try, "rig", machine, "zone", zone)
}

func (l logJudge) TaskEnded(machine string, t workers.TaskID, try uint64, done bool) {
	l.log.Info("task off machine", "piece", t, "try", try, "rig", machine, "done", done)
}

// stored lets workers find a job's description where the nodes keep it.
type stored struct{ s *StateService }

func (j stored) Job(id string) (*jobs.Spec, bool) {
	j.s.mu.Lock()
	it, ok := j.s.items[jobs.OpenPrefix+id]
	j.s.mu.Unlock()
	if !ok {
		return nil, false
	}
	var job jobs.Spec
	if json.Unmarshal(it.V, &job) != nil {
		return nil, false
	}
	return &job, true
}

type system struct{ *net.Dialer }

func (system) Listen(network, addr string) (net.Listener, error) { return net.Listen(network, addr) }

// losses has that part of the transactions that write get no answer. Half of these are
// carried out at once, the others some seconds late, if their conditions still hold.
func losses(part float64, log *slog.Logger) func(caller string, writes int) Fate {
	const seed, latestS = 7, 3.0
	draw := rand.New(rand.NewPCG(seed, seed))
	return func(_ string, writes int) Fate {
		if writes == 0 || draw.Float64() >= part {
			return Fate{}
		}
		late := draw.Float64() < 0.5
		log.Info("answer lost", "late", late)
		if !late {
			return Fate{Lost: true}
		}
		return Fate{Lost: true, After: config.Seconds(1 + draw.Float64()*latestS)}
	}
}

// ServeSite runs a state service, a cloud and its machines on this computer,
// for the nodes that the settings describe, until ctx ends. The nodes' own
// users' addresses are given by label, for the workers. Of the transactions to the state
// service that write, the part lost gets no answer.
func ServeSite(ctx context.Context, set *config.Settings, nodes map[string]string, lost float64, log *slog.Logger) error {
	state := NewStateService()
	defer state.Close()
	if lost > 0 {
		state.SetFate(losses(lost, log))
	}
	w := set.Params.Workers
	meet := NewGangRegistry()
	var addrs []string
	for _, a := range nodes {
		addrs = append(addrs, a)
	}
	cat := autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "demo-4g", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: 2, Zones: set.Params.Zones,
	}}}
	cloud := NewCloud(ctx, cat, 12, func(ctx context.Context, h autoscaling.Instance) {
		wk := NewWorker(WorkerOptions{
			Name: h.Name, Addr: h.Endpoint, MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Nodes: addrs, NodeByLabel: nodes,
			HeartbeatInterval: config.Seconds(w.HeartbeatS), Lease: config.Seconds(w.LeaseS), FetchTime: time.Second, GangWait: config.Seconds(w.GangWaitS),
		},
			system{&net.Dialer{}}, stored{state}, logJudge{log}, meet)
		if err := wk.Run(ctx); err != nil && ctx.Err() == nil {
			log.Error("machine ended", "rig", h.Name, "err", err)
		}
	})
	errs := make(chan error, 2)
	for addr, h := range map[string]http.Handler{set.Services.State: state, set.Services.Cloud: cloud} {
		if !strings.HasPrefix(addr, "127.") {
			return fmt.Errorf("stand-ins serve on loopback only, not on %s", addr)
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
		context.AfterFunc(ctx, func() { srv.Close() })
		go func() { errs <- srv.Serve(l) }()
	}
	log.Info("stand-ins serve", "state", set.Services.State, "cloud", set.Services.Cloud)
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return err
	}
}
