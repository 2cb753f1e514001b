// Package choicebencher compares the choice of upstream from aged views with an all-knowing one.
package choicebencher
