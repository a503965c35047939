package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/cli"
	"guavaloom.example/guavaloom/internal/demo"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, cli.Env{Out: os.Stdout, Err: os.Stderr, Version: version, Extra: []*cobra.Command{demo.Command()}}, os.Args[1:])
	stop()
	os.Exit(code)
}
