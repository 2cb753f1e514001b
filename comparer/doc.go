// Package comparer describes what callers and operators notice of the change from one configuration to another.
package comparer
