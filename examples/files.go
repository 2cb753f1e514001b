package examples

import "embed"

// Files holds the answers and the generated configuration of each example deployment in a folder of its name.
//
//go:embed */*.yaml
var Files embed.FS
