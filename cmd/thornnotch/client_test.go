package main

import (
	"net/http"
	"testing"

	"thornnotch/internal/userapi"
	"thornnotch/internal/wirejson/wirejsontest"
)

// TestClientIgnoresFieldsOfOtherCase guards against a job's status or an error printed from unknown fields
// of a node's response.
func TestClientIgnoresFieldsOfOtherCase(t *testing.T) {
	wirejsontest.CheckIgnored(t, `{"nameId":"j-1","status":"running","done":1,"running":2}`, decodeResponse[userapi.JobStatus])
	rejected := response{status: http.StatusBadRequest, body: wirejsontest.AddCaseVariants(t, []byte(`{"error":"is missing","field":"hall"}`))}
	if err := rejected.toError("j-1"); err.Error() != "j-1: malformed: hall: is missing" {
		t.Errorf("got %v", err)
	}
}
