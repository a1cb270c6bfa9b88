// Package config decodes and checks the two settings files. The platform's file (TOML) differs
// between nodes only in the node's own name, zone and addresses and in the list of its peers. The
// operators' file (YAML) is optional. The package also derives the capacity of a node from the
// settings.
package config
