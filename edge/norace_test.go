//go:build !race

package edge

const raceDetector = false
