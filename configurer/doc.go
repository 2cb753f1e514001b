// Package configurer defines the shared configuration and the settings of a process, and reads both strictly.
package configurer
