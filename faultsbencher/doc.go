// Package faultsbencher runs random fault schedules against leases, claims, bills, configuration and membership.
package faultsbencher
