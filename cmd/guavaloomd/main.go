package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/proc"

	"guavaloom.example/guavaloom/internal/daemon"
	"guavaloom.example/guavaloom/internal/settings"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // bad usage or settings
)

func main() {
	// go-zero ends the process a few seconds after a signal; the daemon stops
	// gracefully by its own limit.
	proc.SetTimeToForceQuit(2 * daemon.StopTimeout)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// failure is an error at run time, with correct usage and settings.
type failure struct{ error }

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	cmd := command()
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errOut)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, err)
	if errors.As(err, &failure{}) {
		return exitFailed
	}
	return exitUsage
}

func command() *cobra.Command {
	var config string
	root := &cobra.Command{
		Use: "guavaloomd --config FILE.ini", Short: "Run one instance of the load balancer",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(config)
			if err != nil {
				return err
			}
			err = daemon.Run(cmd.Context(), s)
			if err == nil || errors.Is(err, daemon.ErrSettings) {
				return err
			}
			return failure{err}
		},
	}
	root.Flags().StringVar(&config, "config", "", "settings file")
	if err := root.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	root.AddCommand(&cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { _, _ = fmt.Fprintln(cmd.OutOrStdout(), "guavaloomd", version()) },
	})
	return root
}

// version returns the module version and revision from the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v
}
