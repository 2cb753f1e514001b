// Package announcer decides which long prompts an entry announces to the others, and learns how long engines take to read prompts. It
// sends nothing by itself.
package announcer
