// Package promoter grows the exposure of candidate versions on evidence and rolls bad ones back without an operator.
package promoter
