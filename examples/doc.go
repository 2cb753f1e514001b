// Package examples embeds the answers of the example deployments.
package examples
