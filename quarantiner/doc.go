// Package quarantiner decides which parts of prompts are refused because upstreams crash when they begin to answer requests with
// them.
package quarantiner
