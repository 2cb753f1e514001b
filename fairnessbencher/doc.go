// Package fairnessbencher measures small client accounts beside one that asks for ten times its share.
package fairnessbencher
