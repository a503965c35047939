// Command guavaloom-edge runs one load balancer instance that steers flows by tokens, on the
// platform that package platform adapts to.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"guavaloom.example/guavaloom/internal/edge"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // bad usage or settings
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	file := os.Getenv(platform.SettingsVariable)
	if file == "" {
		fmt.Fprintf(os.Stderr, "%s is not set, allowed is the path of a settings file\n", platform.SettingsVariable)
		return exitUsage
	}
	s, err := edge.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	log, err := logfield.New(os.Stdout, "info", logfield.JSON)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if err := edge.New(s, platform.New(s), log).Run(ctx, file, reload); err != nil {
		log.WithError(err).Error("instance failed")
		return exitFailed
	}
	return exitOK
}
