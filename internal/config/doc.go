// Package config decodes and checks the two settings files: the platform's (TOML), which is
// the same for all nodes but for the node's own names and addresses, and the operators'
// (YAML), which is optional. It also derives from the settings how much a node can serve.
package config
