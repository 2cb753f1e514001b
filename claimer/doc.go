// Package claimer lets each non-idempotent request run at most once by storing a durable claim before the run.
package claimer
