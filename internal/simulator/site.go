package simulator

import (
	"context"
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
	"thornnotch/internal/wirejson"
	"thornnotch/internal/workers"
)

const (
	siteMachineCount      = 12          // machines that the simulated cloud can rent out
	siteFetchTime         = time.Second // time that a worker takes to fetch an image
	siteReadHeaderTimeout = 10 * time.Second

	// lossSeed is fixed, so that every run draws the same sequence of lost replies.
	lossSeed = 7
	// lateShare is the fraction of transactions with a lost reply that are applied late. The
	// delay is uniform in [minLateDelayS, minLateDelayS+lateDelaySpreadS) seconds.
	lateShare        = 0.5
	minLateDelayS    = 1.0
	lateDelaySpreadS = 3.0
)

// ServeSite serves a simulated site on loopback until ctx is done: a state service and a cloud
// at the addresses in settings, and the workers of the cloud's machines. nodeAddrByLabel maps
// node labels to the addresses that the workers connect to. lossShare is the fraction of write
// transactions whose reply the state service drops. ServeSite returns an error if an address is
// not on loopback or a server fails, and nil once ctx is done.
func ServeSite(ctx context.Context, settings *config.Settings, nodeAddrByLabel map[string]string, lossShare float64, log *slog.Logger) error {
	state := NewStateService()
	defer state.Close()
	if lossShare > 0 {
		state.SetTxnFaults(randomLostReplies(lossShare, log))
	}
	cloud := NewCloud(ctx, siteCatalog(settings.Params.Zones), siteMachineCount, siteWorkerRunner(settings, nodeAddrByLabel, state, log))
	serveErrors := make(chan error, 2)
	for addr, handler := range map[string]http.Handler{settings.Services.State: state, settings.Services.Cloud: cloud} {
		if err := serveLoopback(ctx, addr, handler, serveErrors); err != nil {
			return err
		}
	}
	log.Info("simulator listening", "state", settings.Services.State, "cloud", settings.Services.Cloud)
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErrors:
		return err
	}
}

// serveLoopback starts serving on a loopback address until ctx is done, and sends the server's
// final error to serveErrors.
func serveLoopback(ctx context.Context, addr string, handler http.Handler, serveErrors chan<- error) error {
	if !strings.HasPrefix(addr, "127.") {
		return fmt.Errorf("simulator address %s is not a loopback address", addr)
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: siteReadHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { serveErrors <- server.Serve(listener) }()
	return nil
}

func siteCatalog(zones []string) autoscaling.Catalog {
	return autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "demo-4g", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: 2, Zones: zones,
	}}}
}

// siteWorkerRunner returns a function that runs the worker of one of the site's machines.
func siteWorkerRunner(settings *config.Settings, nodeAddrByLabel map[string]string, state *StateService, log *slog.Logger) WorkerRunner {
	timings := settings.Params.Workers
	gangs := NewGangRegistry()
	var addrs []string
	for _, addr := range nodeAddrByLabel {
		addrs = append(addrs, addr)
	}
	return func(ctx context.Context, instance autoscaling.Instance) {
		worker := NewWorker(WorkerOptions{
			Name: instance.Name, Addr: instance.Endpoint, MachineType: instance.MachineType,
			Zone: instance.Zone, Spot: instance.Spot,
			NodeAddrs: addrs, NodeAddrByLabel: nodeAddrByLabel,
			HeartbeatInterval: config.Seconds(timings.HeartbeatS), LeaseDuration: config.Seconds(timings.LeaseS),
			FetchTime: siteFetchTime, GangWait: config.Seconds(timings.GangWaitS),
		}, systemNetwork{}, submittedJobs{state}, logObserver{log}, gangs)
		if err := worker.Run(ctx); err != nil && ctx.Err() == nil {
			log.Error("simulated worker failed", "machine", instance.Name, "error", err)
		}
	}
}

// randomLostReplies returns a function for SetTxnFaults that drops the reply to the fraction
// lossShare of write transactions, chosen at random. The fraction lateShare of these transactions
// is applied some seconds late if their conditions hold then; the rest are applied immediately.
func randomLostReplies(lossShare float64, log *slog.Logger) func(caller string, writes int) TxnFault {
	random := rand.New(rand.NewPCG(lossSeed, lossSeed))
	return func(_ string, writes int) TxnFault {
		if writes == 0 || random.Float64() >= lossShare {
			return TxnFault{}
		}
		late := random.Float64() < lateShare
		log.Info("reply dropped", "late", late)
		if !late {
			return TxnFault{ReplyLost: true}
		}
		return TxnFault{ReplyLost: true, After: config.Seconds(minLateDelayS + random.Float64()*lateDelaySpreadS)}
	}
}

// systemNetwork implements Transport with the operating system's network.
type systemNetwork struct{}

// Listen announces on a local address.
func (systemNetwork) Listen(network, addr string) (net.Listener, error) {
	var listen net.ListenConfig
	return listen.Listen(context.Background(), network, addr)
}

// DialContext connects to an address.
func (systemNetwork) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, addr)
}

// submittedJobs implements JobSource. It reads the records of open jobs that the nodes write to
// the state service.
type submittedJobs struct{ state *StateService }

// Job returns the specification of an open job, and false if no such job is open.
func (s submittedJobs) Job(id string) (*jobs.Spec, bool) {
	record := s.state.Get(jobs.OpenPrefix + id)
	if record == nil {
		return nil, false
	}
	var spec jobs.Spec
	if wirejson.Decode(record, &spec) != nil {
		return nil, false
	}
	return &spec, true
}

// logObserver implements Observer and logs each start and end of a task.
type logObserver struct{ log *slog.Logger }

// TaskStarted logs the start of a task.
func (l logObserver) TaskStarted(machine, zone string, _ bool, task workers.TaskID, attempt uint64, _ *jobs.Spec) {
	l.log.Info("task started", "task", task, "attempt", attempt, "machine", machine, "zone", zone)
}

// TaskEnded logs the end of a task.
func (l logObserver) TaskEnded(machine string, task workers.TaskID, attempt uint64, done bool) {
	l.log.Info("task ended", "task", task, "attempt", attempt, "machine", machine, "done", done)
}
