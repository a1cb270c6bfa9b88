package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"thornnotch/internal/attestation"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// Store is what the users' interface needs of the state service.
type Store interface {
	Get(ctx context.Context, class statestore.Class, key string) (statestore.KeyValue, bool, error)
	Txn(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error)
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (uint64, []statestore.Change, error)
}

// TaskCounts counts a job's tasks, for display only.
type TaskCounts struct{ Done, Running int }

// Progress tells how far these open jobs are; those not known are left out.
type Progress func(ctx context.Context, ids []string) map[string]TaskCounts

// Server answers users. Any node does, whoever leads: what it says of a job
// comes from the state service, or is final and can't change.
type Server struct {
	store    Store
	teams    []config.Team
	catalog  func() []jobs.MachineType
	progress Progress
	ready    func() bool
	log      *slog.Logger
	finals   *lru.Cache[string, jobs.FinalRecord]
	// cancelled is what this process can vouch for.
	cancelled *attestation.CancellationLog
	mirror    *mirror
	asks      chan ask
	conds     int // conditions that one transaction takes
	// ops and valueBytes are what a transaction and a value may hold.
	ops, valueBytes int
	// submits has a place for each submission under way.
	submits chan struct{}
}

// vouchesKept is how many cancellations are remembered at so many changes a second.
func vouchesKept(writeRPS float64) int {
	return max(constants.CancellationLogMinEntries, int(writeRPS*constants.CancellationLogWindow.Seconds()))
}

// NewServer makes the users' interface. submits is how many submissions it takes
// at once.
func NewServer(store Store, teams []config.Team, state config.StateLimits, submits int, catalog func() []jobs.MachineType, progress Progress, ready func() bool, log *slog.Logger) (*Server, error) {
	finals, err := lru.New[string, jobs.FinalRecord](constants.FinalCache)
	if err != nil {
		return nil, err
	}
	return &Server{
		store: store, teams: teams, catalog: catalog, progress: progress, ready: ready, log: log, finals: finals, cancelled: attestation.NewCancellationLog(vouchesKept(state.WriteRPS), time.Now()),
		mirror: newMirror(), asks: make(chan ask, constants.PollQueue), conds: constants.CondsPerOp * max(state.TxnOps, 1),
		ops: max(state.TxnOps, 1), valueBytes: int(state.ValueKB * 1024),
		submits: make(chan struct{}, max(submits, 1)),
	}, nil
}

// Register adds the users' endpoints.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /work", s.submit)
	mux.HandleFunc("GET /work/{id}", s.poll)
	mux.HandleFunc("POST /work/{id}/cancel", s.cancel)
	mux.HandleFunc("GET /ready", s.readiness)
}

// JobStatus is a job as users are told of it.
type JobStatus struct {
	ID      string `json:"nameId"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, `{"error":"internal"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}

type problem struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}

// later answers at once that the request can't be served now, and when to
// come back.
func later(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", strconv.Itoa(constants.RetryAfter))
	WriteJSON(w, http.StatusServiceUnavailable, problem{Error: why})
}

// ReadBody reads a request's body within the protocol's bound.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, constants.MaxBodyBytes))
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, problem{Error: "the body can't be read: " + err.Error()})
		return nil, false
	}
	return raw, true
}

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		later(w, "starting")
		return
	}
	WriteJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ready"})
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	raw, ok := ReadBody(w, r)
	if !ok {
		return
	}
	// More than can be recorded in the time that a user waits are told so at
	// once; polls and cancellations have their own way.
	select {
	case s.submits <- struct{}{}:
		defer func() { <-s.submits }()
	default:
		later(w, "too many submissions at once")
		return
	}
	j, err := jobs.DecodeSpec(raw)
	if err != nil {
		s.log.Debug("malformed submission", "err", err)
		malformed(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), constants.UserRequestTimeout)
	defer cancel()
	cat := s.catalog()
	if len(cat) == 0 {
		later(w, "the machine types are not known yet")
		return
	}
	if err := jobs.CheckRunnable(j, s.teams, cat); err != nil {
		// A job accepted under an older catalog stays accepted.
		st, found, lookErr := s.look(ctx, j.ID, statestore.ClassSubmit)
		switch {
		case lookErr != nil:
			later(w, "the state service can't be asked")
		case found:
			WriteJSON(w, http.StatusOK, st)
		default:
			WriteJSON(w, http.StatusUnprocessableEntity, problem{Error: err.Error()})
		}
		return
	}
	cancelled := false
	if len(j.DependsOn) > 0 {
		unknown, err := s.unknown(ctx, j.DependsOn)
		if err != nil {
			later(w, "the state service can't be asked")
			return
		}
		if unknown != "" {
			// Whatever a repeat names, a job known already is known.
			st, found, lookErr := s.look(ctx, j.ID, statestore.ClassSubmit)
			switch {
			case lookErr != nil:
				later(w, "the state service can't be asked")
			case found:
				WriteJSON(w, http.StatusOK, st)
			default:
				WriteJSON(w, http.StatusUnprocessableEntity, problem{fmt.Sprintf("%s was never accepted", unknown), "waitsOn"})
			}
			return
		}
		// Best effort: a job before it that is cancelled, or comes to be, has this
		// one cancelled in any case.
		cancelled, _ = s.before(ctx, j.DependsOn, statestore.ClassSubmit)
	}
	value, parts, err := jobs.EncodeRecord(*j, time.Now().UnixMilli(), s.valueBytes, s.upload())
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, problem{Error: err.Error()})
		return
	}
	write := statestore.Write{Put: jobs.OpenPrefix + j.ID, Value: value}
	if cancelled {
		raw, _ := json.Marshal(jobs.FinalRecord{Status: jobs.StatusCancelled}) // plain fields always encode
		write, parts = statestore.Write{Put: jobs.FinalPrefix + j.ID, Value: raw}, nil
	}
	if err := s.putParts(ctx, j.ID, jobs.DecodeDependencies(value), parts); err != nil {
		later(w, "the job can't be recorded now")
		return
	}
	epoch, err := s.multi(ctx, statestore.ClassSubmit,
		[]statestore.Condition{{Key: jobs.OpenPrefix + j.ID}, {Key: jobs.FinalPrefix + j.ID}}, []statestore.Write{write})
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		if cancelled {
			s.settle(j.ID, jobs.FinalRecord{Status: jobs.StatusCancelled})
			WriteJSON(w, http.StatusCreated, JobStatus{ID: j.ID, Status: jobs.StatusCancelled})
			return
		}
		s.mirror.learn(j.ID, epoch, jobs.DecodeDependencies(value))
		WriteJSON(w, http.StatusCreated, JobStatus{ID: j.ID, Status: jobs.StatusPending})
	case errors.As(err, &conflict):
		st, found, err := s.look(ctx, j.ID, statestore.ClassSubmit)
		if err != nil || !found {
			later(w, "the state service can't be asked")
			return
		}
		WriteJSON(w, http.StatusOK, st)
	default:
		s.log.Debug("submission not recorded", "id", j.ID, "err", err)
		later(w, "the job can't be recorded now")
	}
}

// multi runs a user's transaction. One without an answer may have been carried out, or
// may be yet, so it is sent again as it was: its conditions on the job's records let
// just one of them be carried out. Without that its user would come back after a
// second or more.
func (s *Server) multi(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (epoch uint64, err error) {
	for range constants.UserTxnAttempts {
		epoch, err = s.store.Txn(ctx, class, when, writes)
		if !errors.Is(err, statestore.ErrOutcomeUnknown) || ctx.Err() != nil {
			break
		}
	}
	return epoch, err
}

// look reads a job's state: open first, then final, so that a job that moves
// between both is never missed.
func (s *Server) look(ctx context.Context, id string, class statestore.Class) (JobStatus, bool, error) {
	if f, ok := s.finals.Get(id); ok {
		return finalState(id, f), true, nil
	}
	known := s.mirror.known(id)
	row, found, err := s.store.Get(ctx, class, jobs.OpenPrefix+id)
	if err != nil {
		return JobStatus{}, false, err
	}
	if found {
		s.mirror.learn(id, row.Revision, jobs.DecodeDependencies(row.Value))
		if off, err := s.waits(ctx, id, row, class); err != nil {
			return JobStatus{}, false, err
		} else if off {
			return finalState(id, jobs.FinalRecord{Status: jobs.StatusCancelled}), true, nil
		}
		var tasks map[string]TaskCounts
		if s.progress != nil {
			tasks = s.progress(ctx, []string{id})
		}
		return openState(id, tasks[id]), true, nil
	}
	if known != 0 {
		s.mirror.forget(id, known)
	}
	return s.lookFinal(ctx, id, class)
}

// openState is a job that is neither done nor cancelled.
func openState(id string, t TaskCounts) JobStatus {
	st := JobStatus{ID: id, Status: jobs.StatusPending, Done: &t.Done, Running: &t.Running}
	if t.Running > 0 {
		st.Status = jobs.StatusRunning
	}
	return st
}

func (s *Server) lookFinal(ctx context.Context, id string, class statestore.Class) (JobStatus, bool, error) {
	row, found, err := s.store.Get(ctx, class, jobs.FinalPrefix+id)
	if err != nil || !found {
		return JobStatus{}, false, err
	}
	var f jobs.FinalRecord
	if err := json.Unmarshal(row.Value, &f); err != nil {
		return JobStatus{}, false, err
	}
	s.settle(id, f)
	return finalState(id, f), true, nil
}

// settle remembers a job's final state. Whatever tells a user of it comes after:
// this process vouches for what it has told.
func (s *Server) settle(id string, f jobs.FinalRecord) {
	if f.Status == jobs.StatusCancelled {
		s.cancelled.Add(id, time.Now())
	}
	s.finals.Add(id, f)
}

// AttestCancellations names the jobs that this process has told users, within so long a time,
// are cancelled, and maybe some more that are. It reports false when it can't say.
func (s *Server) AttestCancellations(span time.Duration) (ids []string, ok bool) {
	return s.cancelled.Since(span, time.Now())
}

func finalState(id string, f jobs.FinalRecord) JobStatus {
	done, running := 0, 0
	if f.Status == jobs.StatusDone {
		done = f.Tasks
	}
	return JobStatus{ID: id, Status: f.Status, Done: &done, Running: &running}
}

func (s *Server) poll(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !jobs.ValidID(id) {
		WriteJSON(w, http.StatusNotFound, problem{Error: "no such job"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), constants.PollTimeout)
	defer cancel()
	st, found, err := s.ask(ctx, id)
	switch {
	case err != nil:
		later(w, "the state service can't be asked")
	case !found:
		WriteJSON(w, http.StatusNotFound, problem{Error: "no such job"})
	default:
		WriteJSON(w, http.StatusOK, st)
	}
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !jobs.ValidID(id) {
		WriteJSON(w, http.StatusNotFound, problem{Error: "no such job"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), constants.UserRequestTimeout)
	defer cancel()
	if f, ok := s.finals.Get(id); ok {
		WriteJSON(w, http.StatusOK, JobStatus{ID: id, Status: f.Status})
		return
	}
	for range 3 {
		row, open, err := s.store.Get(ctx, statestore.ClassCancel, jobs.OpenPrefix+id)
		if err != nil {
			break
		}
		if !open {
			st, found, err := s.lookFinal(ctx, id, statestore.ClassCancel)
			if err != nil {
				break
			}
			if !found {
				WriteJSON(w, http.StatusNotFound, problem{Error: "no such job"})
				return
			}
			WriteJSON(w, http.StatusOK, JobStatus{ID: id, Status: st.Status})
			return
		}
		f := jobs.FinalRecord{Status: jobs.StatusCancelled}
		value, err := json.Marshal(f)
		if err != nil {
			break
		}
		_, err = s.multi(ctx, statestore.ClassCancel, []statestore.Condition{{Key: jobs.OpenPrefix + id, Revision: row.Revision}},
			[]statestore.Write{{Delete: jobs.OpenPrefix + id}, {Put: jobs.FinalPrefix + id, Value: value}})
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			s.settle(id, f)
			s.mirror.forget(id, 0)
			WriteJSON(w, http.StatusOK, JobStatus{ID: id, Status: jobs.StatusCancelled})
			return
		case !errors.As(err, &conflict):
			later(w, "the cancellation can't be recorded now")
			return
		}
		// Done or cancelled meanwhile: look again.
	}
	later(w, "the cancellation can't be recorded now")
}
