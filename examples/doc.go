// Package examples embeds the files of the example deployments.
package examples
