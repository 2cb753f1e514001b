package main

// Importing C links the program against the C library, which the platform requires.

import "C"

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/siskinfront/siskinfront/launcher"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := launcher.NewCommand("siskinfront-entry").ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "siskinfront-entry:", err)
		return 1
	}
	return 0
}
