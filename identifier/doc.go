// Package identifier defines the types of names that other packages share.
package identifier
