// Package claimer lets each non-idempotent request run at most once, through claims that are durable before the run.
package claimer
