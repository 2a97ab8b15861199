//go:build race

package persimengine

func init() { raceDetector = true }
