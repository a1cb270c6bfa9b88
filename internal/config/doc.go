// Package config decodes and checks the two settings files. The platform's file (TOML) is the
// same for all nodes except for the node's own names and addresses. The operators' file (YAML)
// is optional. The package also derives the capacity of a node from the settings.
package config
