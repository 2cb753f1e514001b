// Package launcher is the command that runs an entry on the users' platform, shared by the programs that have it.
package launcher
