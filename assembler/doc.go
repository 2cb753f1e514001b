// Package assembler builds the entry and agent processes: it connects the module's other packages under the settings of a process.
package assembler
