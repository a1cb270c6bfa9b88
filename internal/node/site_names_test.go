package node

import "fmt"

// Names and addresses of a site's nodes, and job IDs, derived from their numbers.

// nodeName returns the name of a node.
func nodeName(number int) string { return fmt.Sprintf("rig-%d", number) }

// nodeNumber returns the number of the node with this name.
func nodeNumber(name string) int { return int(name[len("rig-")] - '0') }

// nodeAddress returns the address at which users and workers reach a node.
func nodeAddress(number int) string { return fmt.Sprintf("node-%d:80", number) }

// peerAddress returns the address at which other nodes reach a node.
func peerAddress(number int) string { return fmt.Sprintf("node-%d:81", number) }

// jobID returns the ID of the job with this number.
func jobID(number int) string { return fmt.Sprintf("j-%06d", number) }
