package simulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"thornnotch/internal/workers"
)

// report is the worker's next message; w.mu is held.
func (w *Worker) report() workers.Heartbeat {
	w.sequence++
	heartbeat := workers.Heartbeat{
		Machine: w.options.Name, Endpoint: w.options.Addr, MachineType: w.options.MachineType,
		Zone: w.options.Zone, Spot: w.options.Spot,
		Epoch: w.epoch, Sequence: w.sequence, Token: w.token,
	}
	for _, id := range w.sortedAttempts() {
		t := w.tasks[id]
		heartbeat.Tasks = append(heartbeat.Tasks, workers.TaskReport{
			Task: id.Task.String(), Attempt: id.Number, Status: t.status, Cause: t.cause, Saved: t.saved,
		})
	}
	return heartbeat
}

// sendHeartbeat sends one heartbeat and takes the reply.
func (w *Worker) sendHeartbeat(ctx context.Context) {
	w.mu.Lock()
	heartbeat := w.report()
	addr := w.options.Nodes[w.node%len(w.options.Nodes)]
	w.mu.Unlock()
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	w.sendDuplicates(ctx, addr, heartbeat)
	w.keep(heartbeat)
	if w.outgoingIsCut() {
		<-ctx.Done() // given up without a reply
		w.tryNextNode()
		return
	}
	status, body := w.post(ctx, addr, &heartbeat)
	if !w.takeAnswer(status, body, addr, heartbeat.Epoch, sentAt) {
		<-ctx.Done() // given up without a reply
		w.tryNextNode()
	}
}

// keep keeps a heartbeat for ResendHeartbeats.
func (w *Worker) keep(heartbeat workers.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if most := w.options.KeepHeartbeats; most > 0 {
		w.kept = append(w.kept, heartbeat)
		w.kept = w.kept[max(0, len(w.kept)-most):]
	}
}

func (w *Worker) outgoingIsCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outgoingCut
}

func (w *Worker) tryNextNode() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.node++
}

// takeAnswer takes the node's answer to a heartbeat of this epoch; false: a cut or a hang
// keeps it from arriving.
func (w *Worker) takeAnswer(status int, body []byte, from string, epoch uint64, sentAt time.Time) (arrived bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incomingCut || w.hanging {
		return false
	}
	switch status {
	case http.StatusOK:
		w.takeReply(body, epoch, sentAt)
	case http.StatusMisdirectedRequest:
		w.followRedirect(body, from)
	default:
		w.node++
	}
	return true
}

// sendDuplicates has copies of a heartbeat arrive later.
func (w *Worker) sendDuplicates(ctx context.Context, addr string, heartbeat workers.Heartbeat) {
	for _, delay := range w.options.DuplicateAfter {
		go func() {
			timer := time.NewTimer(delay)
			defer timer.Stop()
			select {
			case <-timer.C:
				// The copy is on its way however soon the original is answered.
				w.postWithin(context.WithoutCancel(ctx), addr, &heartbeat)
			case <-w.ended:
			}
		}()
	}
}

// takeReply applies the protocol's rules for tokens and leases; w.mu is held.
func (w *Worker) takeReply(body []byte, epoch uint64, sentAt time.Time) {
	var batch workers.CommandBatch
	if json.Unmarshal(body, &batch) != nil || batch.Token < w.token || epoch != w.epoch {
		return
	}
	w.token, w.leaseFrom = batch.Token, sentAt
	w.execute(batch.Commands, time.Now())
}

// followRedirect goes to the node that a reply names, or to the next one; w.mu is held.
func (w *Worker) followRedirect(body []byte, from string) {
	var target redirect
	_ = json.Unmarshal(body, &target) // a reply without a target names none
	for i, addr := range w.options.Nodes {
		if target.Leader != "" && addr == w.options.NodeByLabel[target.Leader] && addr != from {
			w.node = i
			w.noteChange()
			return
		}
	}
	w.node++
}

// postWithin posts a heartbeat whose reply nobody waits for.
func (w *Worker) postWithin(ctx context.Context, addr string, heartbeat *workers.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	w.post(ctx, addr, heartbeat)
}

// post sends a heartbeat to a node; the status is 0 if there is no reply.
func (w *Worker) post(ctx context.Context, addr string, heartbeat *workers.Heartbeat) (status int, body []byte) {
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/hello", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	response, err := w.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // it has been read by then
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}
