//go:build race

package persimplace

func init() { raceDetector = true }
