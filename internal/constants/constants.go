// Package constants defines the constants that tune thornnotch, each with its unit and, where
// it is not obvious, the reason for its value. Values that differ between deployments come
// from the settings files or the catalog instead.
//
// Each file covers one subsystem. Constants of type time.Duration carry their unit; the
// comment of any other constant names it, unless the constant is a plain count or ratio.
package constants
