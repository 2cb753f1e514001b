// Package launcher provides the command that runs an entry on the users' platform; several programs share it.
package launcher
