// Package assembler builds the entry and agent processes from the packages that decide and the settings of a process.
package assembler
