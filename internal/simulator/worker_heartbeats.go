package simulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"thornnotch/internal/wirejson"
	"thornnotch/internal/workers"
)

// newHeartbeat returns a heartbeat with the worker's current status and the next sequence number.
// The caller must hold w.mu.
func (w *Worker) newHeartbeat() workers.Heartbeat {
	w.sequence++
	heartbeat := workers.Heartbeat{
		Machine: w.options.Name, Endpoint: w.options.Addr, MachineType: w.options.MachineType,
		Zone: w.options.Zone, Spot: w.options.Spot,
		Epoch: w.epoch, Sequence: w.sequence, Token: w.token,
	}
	for _, id := range w.sortedAttempts() {
		t := w.tasks[id]
		heartbeat.Tasks = append(heartbeat.Tasks, workers.TaskReport{
			Task: id.Task.String(), Attempt: id.Number, Status: t.status, Cause: t.cause, CheckpointSaved: t.saved,
		})
	}
	return heartbeat
}

// sendHeartbeat sends one heartbeat and handles the reply. If blocked traffic or a hang keeps the
// reply from the worker, it waits for the timeout and switches to the next node.
func (w *Worker) sendHeartbeat(ctx context.Context) {
	w.mu.Lock()
	heartbeat := w.newHeartbeat()
	addr := w.options.NodeAddrs[w.nodeIndex%len(w.options.NodeAddrs)]
	w.mu.Unlock()
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	w.sendDuplicates(ctx, addr, heartbeat)
	w.keepHeartbeat(heartbeat)
	if w.isOutgoingBlocked() {
		<-ctx.Done() // no reply: wait for the timeout
		w.switchToNextNode()
		return
	}
	status, body := w.post(ctx, addr, &heartbeat)
	if !w.handleReply(status, body, addr, heartbeat.Epoch, sentAt) {
		<-ctx.Done() // no reply: wait for the timeout
		w.switchToNextNode()
	}
}

// keepHeartbeat stores a heartbeat for ResendHeartbeats.
func (w *Worker) keepHeartbeat(heartbeat workers.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit := w.options.MaxKeptHeartbeats; limit > 0 {
		w.keptHeartbeats = append(w.keptHeartbeats, heartbeat)
		w.keptHeartbeats = w.keptHeartbeats[max(0, len(w.keptHeartbeats)-limit):]
	}
}

func (w *Worker) isOutgoingBlocked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outgoingBlocked
}

func (w *Worker) switchToNextNode() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodeIndex++
}

// handleReply applies a node's reply to a heartbeat that was sent in the given epoch: it executes
// the commands or follows the redirect, and on any other status, including 0 for a failed request,
// switches to the next node. It reports false and does nothing if blocked traffic or a hang keeps
// the worker from receiving the reply.
func (w *Worker) handleReply(status int, body []byte, from string, epoch uint64, sentAt time.Time) (received bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incomingBlocked || w.hanging {
		return false
	}
	switch status {
	case http.StatusOK:
		w.applyCommandBatch(body, epoch, sentAt)
	case http.StatusMisdirectedRequest:
		w.followRedirect(body, from)
	default:
		w.nodeIndex++
	}
	return true
}

// sendDuplicates sends copies of a heartbeat after the delays in options.DuplicateDelays.
func (w *Worker) sendDuplicates(ctx context.Context, addr string, heartbeat workers.Heartbeat) {
	for _, delay := range w.options.DuplicateDelays {
		go func() {
			timer := time.NewTimer(delay)
			defer timer.Stop()
			select {
			case <-timer.C:
				// The copy must be sent even if the original heartbeat's context has ended.
				w.postWithTimeout(context.WithoutCancel(ctx), addr, &heartbeat)
			case <-w.stopped:
			}
		}()
	}
}

// applyCommandBatch renews the lease from sentAt and executes the commands of a reply. By the
// protocol it ignores the reply if its token is outdated or the worker's epoch has changed. The
// caller must hold w.mu.
func (w *Worker) applyCommandBatch(body []byte, epoch uint64, sentAt time.Time) {
	var batch workers.CommandBatch
	if wirejson.Decode(body, &batch) != nil || batch.Token < w.token || epoch != w.epoch {
		return
	}
	w.token, w.leaseStart = batch.Token, sentAt
	w.executeCommands(batch.Commands, time.Now())
}

// followRedirect switches to the leader named in a redirect and requests an early heartbeat. If
// the redirect names no other known node, it switches to the next node. The caller must hold w.mu.
func (w *Worker) followRedirect(body []byte, from string) {
	var target redirectReply
	_ = wirejson.Decode(body, &target) // a malformed redirect names no leader
	for i, addr := range w.options.NodeAddrs {
		if target.Leader != "" && addr == w.options.NodeAddrByLabel[target.Leader] && addr != from {
			w.nodeIndex = i
			w.requestHeartbeat()
			return
		}
	}
	w.nodeIndex++
}

// postWithTimeout posts a heartbeat and ignores the reply.
func (w *Worker) postWithTimeout(ctx context.Context, addr string, heartbeat *workers.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	w.post(ctx, addr, heartbeat)
}

// post sends a heartbeat to a node and returns the response. The status is 0 if the request
// fails.
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
	defer func() { _ = response.Body.Close() }() // the body has been read by then
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}
