package node

import (
	"testing"

	"thornnotch/internal/wirejson/wirejsontest"
)

// TestStoredCatalogIgnoresFieldsOfOtherCase guards against zones or prices taken from unknown fields of
// the stored catalog.
func TestStoredCatalogIgnoresFieldsOfOtherCase(t *testing.T) {
	const stored = `{"rigTypes":[{"sku":"g8","vcpus":96,"accelerators":8,"ramGb":768,"cacheGb":200,"pullGbPerS":1.5,"rate":12.5,"marketPrice":4.5,"readyS":45,"halls":["a"]}]}`
	wirejsontest.CheckIgnored(t, stored, decodeCatalog)
}

// TestPeerStatusIgnoresFieldsOfOtherCase guards against a node's status taken from unknown fields, which
// another version of the program may add. In the cluster's status, "commits" and "commitS" are two
// fields: one must not be taken for the other where that is omitted.
func TestPeerStatusIgnoresFieldsOfOtherCase(t *testing.T) {
	const sent = `{"nodes":[{"label":"rig-1","reachable":true,"leads":true,"leader":"rig-1","term":7,"stateRequestTokens":1.5}]}`
	wirejsontest.CheckIgnored(t, sent, decodeStatus)
}
