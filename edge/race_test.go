//go:build race

package edge

const raceDetector = true
