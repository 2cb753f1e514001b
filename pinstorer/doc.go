// Package pinstorer stores session pins in rows of the table service.
package pinstorer
