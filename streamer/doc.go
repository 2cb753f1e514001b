// Package streamer defines the order and the answer frames that pass between entry and agent over HTTP.
package streamer
