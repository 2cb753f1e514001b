// Package pinstorer keeps session pins in rows of the table service.
package pinstorer
