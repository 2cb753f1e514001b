// Package configurer defines the shared configuration and the settings of a process, and parses both strictly.
package configurer
