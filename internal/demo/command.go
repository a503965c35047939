package demo

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/cli"
)

// errBroken is the error of a demo in which a promise was broken.
var errBroken = errors.New("a promise was broken")

// Command returns the command demo of the operator's tool.
func Command() *cobra.Command {
	var o Options
	var verbose bool
	c := &cobra.Command{
		Use: "demo", Short: "Run the whole system in one process on loopback; exit 1 if a promise is broken", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Fault != "" && o.Fault != PlainHash && o.Fault != DoubleRun {
				return errors.Errorf("--fault %q: allowed are %s, %s", o.Fault, PlainHash, DoubleRun)
			}
			if verbose {
				o.Log = c.ErrOrStderr()
			}
			r, err := Run(c.Context(), o)
			if err != nil {
				return cli.Refused(err)
			}
			return printReport(c, r)
		},
	}
	c.Flags().Int64Var(&o.Seed, "seed", 1, "seed of the traffic")
	c.Flags().BoolVar(&verbose, "verbose", false, "show the log of the instances")
	c.Flags().StringVar(&o.Fault, "fault", "", "fault to inject")
	_ = c.Flags().MarkHidden("fault") // fails only for an unknown flag
	return c
}

// printReport prints the report in the form that --output selects. It returns an error
// if a promise was broken.
func printReport(c *cobra.Command, r *Report) error {
	if output := c.Flag("output"); output != nil && output.Value.String() == "json" {
		enc := json.NewEncoder(c.OutOrStdout())
		enc.SetIndent("", "  ")
		if err := enc.Encode(r); err != nil {
			return err
		}
	} else {
		_, _ = io.WriteString(c.OutOrStdout(), r.Text())
	}
	if !r.Held() {
		return cli.Reported(errBroken)
	}
	return nil
}
