// Package admitter queues an agent's work in front of its engine by rank, client account and deadline.
package admitter
