//go:build race

package persimquarantine

func init() { raceDetector = true }
