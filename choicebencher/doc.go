// Package choicebencher compares policies that choose an upstream from delayed load samples with an all-knowing choice.
package choicebencher
