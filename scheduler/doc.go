// Package scheduler runs simulated processes one at a time on a virtual clock, so that a seed determines the whole schedule.
package scheduler
