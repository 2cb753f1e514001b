package examples

import "embed"

// Files holds the answers, the generated configuration, the keys and a short trace of each example deployment in a folder of its name.
//
//go:embed */*.yaml */*.ndjson
var Files embed.FS
