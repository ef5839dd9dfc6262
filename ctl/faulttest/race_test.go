//go:build linux && race

package faulttest

var raceFlags = []string{"-race"}
