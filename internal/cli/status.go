package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/operator"
)

func (t *tool) statusCommand() *cobra.Command {
	var settings string
	var wait bool
	var timeout time.Duration
	cmd := &cobra.Command{
		Use: "status", Short: "Show which revision is in force in each zone; exit 1 if the current one is not everywhere", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := LoadSettings(settings)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			return t.status(ctx, s, wait)
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "guavaloom.ini", "operator settings")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the current revision is in force everywhere")
	cmd.Flags().DurationVar(&timeout, "timeout", 10*time.Minute, "how long to wait")
	return cmd
}

func (t *tool) status(ctx context.Context, s *Settings, wait bool) error {
	platform := store(s)
	for {
		st, err := operator.ReadState(ctx, platform)
		switch {
		case err != nil && !wait:
			return refused{err}
		case err == nil && (st.InForce || !wait):
			return t.showState(st)
		}
		if ctxErr := operator.Sleep(ctx, time.Second); ctxErr != nil {
			if err != nil {
				return refused{err}
			}
			_ = t.showState(st)
			return refused{errors.Wrap(ctxErr, "not in force")}
		}
	}
}

func (t *tool) showState(st *operator.State) error {
	lines := []string{"no bundle has been rolled"}
	if c := st.Current; c != nil {
		lines = []string{fmt.Sprintf("current: revision %s, roll %s by %s, digest %s", c.Revision, c.RollID, c.Operator, c.Digest)}
	}
	for _, z := range slices.Sorted(maps.Keys(st.Zones)) {
		s := st.Zones[z]
		line := fmt.Sprintf("zone %s: revision %s in force, %s held, %d instances", z, s.InForce, s.Held, s.Instances)
		if s.StoreOlder {
			line += ", the store shows an older revision"
		}
		lines = append(lines, line)
		for _, l := range s.Laggards {
			lines = append(lines, fmt.Sprintf("  %s at %s: %s", l.Instance, l.InForce, l.Reason))
		}
	}
	for _, z := range st.Missing {
		lines = append(lines, fmt.Sprintf("zone %s: no status", z))
	}
	for _, z := range st.Outdated {
		lines = append(lines, fmt.Sprintf("zone %s: has not reported since the store was restored from an older copy", z))
	}
	for _, e := range st.Evacuations {
		lines = append(lines, evacuationLine(e, st.Current))
	}
	t.print(st, lines...)
	if !st.InForce {
		return refused{errors.New("the current revision is not in force in every zone")}
	}
	return nil
}
