package main

import (
	"net/http"
	"reflect"
	"testing"

	"thornnotch/internal/userapi"
	"thornnotch/internal/wirejson/wirejsontest"
)

// TestClientIgnoresFieldsOfOtherCase guards against a job's status or an error printed from unknown fields
// of a node's response.
func TestClientIgnoresFieldsOfOtherCase(t *testing.T) {
	sent := []byte(`{"nameId":"j-1","status":"running","done":1,"running":2}`)
	want, err := decodeResponse[userapi.JobStatus](sent)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeResponse[userapi.JobStatus](wirejsontest.AddCaseVariants(t, sent)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	rejected := response{status: http.StatusBadRequest, body: wirejsontest.AddCaseVariants(t, []byte(`{"error":"is missing","field":"hall"}`))}
	if err := rejected.toError("j-1"); err.Error() != "j-1: malformed: hall: is missing" {
		t.Errorf("got %v", err)
	}
}
