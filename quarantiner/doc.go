// Package quarantiner decides which requests are refused because upstreams crash when they run them: those with a part in their
// prompts, or those that are the same as a whole.
package quarantiner
