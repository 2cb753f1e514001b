// Command siskinfront routes requests of many client accounts to versions of models and to plain services.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "siskinfront:", err)
		return exitStatus(err)
	}
	return 0
}

// statusError is an error with another exit status than 1.
type statusError struct {
	status int
	err    error
}

// Error returns the text of the error.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the error without its exit status.
func (e *statusError) Unwrap() error { return e.err }

// exitStatus returns the exit status of a command that ended with err.
func exitStatus(err error) int {
	var failure *statusError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &failure):
		return failure.status
	default:
		return 1
	}
}
