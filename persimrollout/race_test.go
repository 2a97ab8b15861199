//go:build race

package persimrollout

func init() { raceDetector = true }
