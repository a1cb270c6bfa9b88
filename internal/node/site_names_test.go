package node

import "fmt"

// The names and addresses of a site's nodes and jobs, by number.

func nodeName(number int) string { return fmt.Sprintf("rig-%d", number) }

// nodeNumber is the number in a node's name.
func nodeNumber(name string) int { return int(name[len("rig-")] - '0') }

// nodeAddress is where users and workers reach a node.
func nodeAddress(number int) string { return fmt.Sprintf("node-%d:80", number) }

// peerAddress is where other nodes reach a node.
func peerAddress(number int) string { return fmt.Sprintf("node-%d:81", number) }

func jobID(number int) string { return fmt.Sprintf("j-%06d", number) }
