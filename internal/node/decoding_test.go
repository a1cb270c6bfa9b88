package node

import (
	"reflect"
	"testing"

	"thornnotch/internal/wirejson/wirejsontest"
)

// TestStoredCatalogIgnoresFieldsOfOtherCase guards against zones or prices taken from unknown fields of
// the stored catalog.
func TestStoredCatalogIgnoresFieldsOfOtherCase(t *testing.T) {
	stored := []byte(`{"rigTypes":[{"sku":"g8","vcpus":96,"accelerators":8,"ramGb":768,"cacheGb":200,"pullGbPerS":1.5,"rate":12.5,"marketPrice":4.5,"readyS":45,"halls":["a"]}]}`)
	want, err := decodeCatalog(stored)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeCatalog(wirejsontest.AddCaseVariants(t, stored)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// TestPeerStatusIgnoresFieldsOfOtherCase guards against a node's status taken from unknown fields, which
// another version of the program may add. In the cluster's status, "commits" and "commitS" are two
// fields: one must not be taken for the other where that is omitted.
func TestPeerStatusIgnoresFieldsOfOtherCase(t *testing.T) {
	sent := []byte(`{"nodes":[{"label":"rig-1","reachable":true,"leads":true,"leader":"rig-1","term":7,"stateRequestTokens":1.5}]}`)
	want, err := decodeStatus(sent)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeStatus(wirejsontest.AddCaseVariants(t, sent)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}
