// Package constants holds every constant of thornnotch, each with its unit and the reason
// for its value. What differs between deployments is not here: it comes from the settings
// file, the catalog or measurement.
//
// A file holds the constants of one duty. Constants of type time.Duration carry their unit;
// all others name it in their comment, or are plain counts or ratios.
package constants
