//go:build race

package persimbench

const raceEnabled = true
