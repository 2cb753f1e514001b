//go:build !race

package confirmer_test

const raceDetector = false
