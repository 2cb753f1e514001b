// Package biller keeps bills until they are durable and writes them in batches to the table or the object store.
package biller
