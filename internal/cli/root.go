package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/inifile"
	"guavaloom.example/guavaloom/internal/operator"
)

// Exit codes.
const (
	ExitDone    = 0
	ExitRefused = 1
	ExitUsage   = 2
)

// refused marks errors that give ExitRefused; all others give ExitUsage.
type refused struct{ error }

func (r refused) Unwrap() error { return r.error }

// reported marks errors that the command has already shown in its output.
type reported struct{ error }

func (r reported) Unwrap() error { return r.error }

// Refused wraps an error of a command in another package, so that the tool exits with
// ExitRefused.
func Refused(err error) error { return refused{err} }

// Reported is like Refused, for an error that the command has already shown in its
// output.
func Reported(err error) error { return refused{reported{err}} }

// Env holds the output streams, the version and the additional commands of the tool.
type Env struct {
	Out, Err io.Writer
	// Version is printed by the command version.
	Version string
	// Extra are commands of other packages, such as demo.
	Extra []*cobra.Command
}

// tool is the state of one run of the command line.
type tool struct {
	Env
	output string
}

// Run executes a command line and returns the exit code.
func Run(ctx context.Context, env Env, args []string) int {
	t := &tool{Env: env}
	root := &cobra.Command{
		Use: "guavaloom", Short: "Check, sign and roll bundles, and watch whether they are in force",
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if t.output != "text" && t.output != "json" {
				return errors.Errorf("--output %q: allowed are text, json", t.output)
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			return errors.New("a command is missing, see guavaloom --help")
		},
	}
	root.PersistentFlags().StringVar(&t.output, "output", "text", "text or json")
	root.AddCommand(t.bundleCommand(), t.keysCommand(), t.rollCommand(), t.statusCommand(), t.explainCommand(), t.instancesCommand(), t.evacuateCommand(), t.versionCommand())
	root.AddCommand(env.Extra...)
	root.SetArgs(args)
	root.SetOut(env.Out)
	root.SetErr(env.Err)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitDone
	}
	t.showError(err)
	var r refused
	if errors.As(err, &r) {
		return ExitRefused
	}
	return ExitUsage
}

// failure is the JSON form of an error.
type failure struct {
	Error    string                 `json:"error"`
	Problems inifile.Problems       `json:"problems,omitempty"`
	Refused  *operator.RefusedError `json:"refused,omitempty"`
}

func (t *tool) showError(err error) {
	if t.output != "json" {
		_, _ = fmt.Fprintln(t.Err, strings.TrimSuffix(err.Error(), "\n"))
		return
	}
	if errors.As(err, &reported{}) {
		return // the command has already printed its JSON document
	}
	f := failure{Error: err.Error()}
	_ = errors.As(err, &f.Problems)
	_ = errors.As(err, &f.Refused)
	t.json(f)
}

func (t *tool) json(v any) {
	enc := json.NewEncoder(t.Out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// print writes a result as JSON (v) or as text (lines).
func (t *tool) print(v any, lines ...string) {
	if t.output == "json" {
		t.json(v)
		return
	}
	for _, l := range lines {
		_, _ = fmt.Fprintln(t.Out, l)
	}
}

func (t *tool) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t.print(map[string]string{"version": t.Version}, "guavaloom "+t.Version)
			return nil
		},
	}
}
