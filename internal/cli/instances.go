package cli

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/explain"
)

func (t *tool) instancesCommand() *cobra.Command {
	var targets bool
	cmd := &cobra.Command{
		Use:   "instances ADMIN ...",
		Short: "Show the state that edge instances use to choose targets, and its age; exit 1 if one does not answer or is not ready",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var all []explain.EdgeStatus
			var lines, failed []string
			for _, address := range args {
				var s explain.EdgeStatus
				if err := callAdmin(c.Context(), address, explain.EdgeStatusPath, nil, &s); err != nil {
					failed = append(failed, fmt.Sprintf("%s: %v", address, err))
					continue
				}
				if len(s.NotReady) > 0 {
					failed = append(failed, fmt.Sprintf("%s: not ready: %s", s.Instance, strings.Join(s.NotReady, ", ")))
				}
				all = append(all, s)
				lines = append(lines, statusLines(s, targets)...)
			}
			t.print(all, lines...)
			if len(failed) > 0 {
				return refused{errors.New(strings.Join(failed, "\n"))}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&targets, "targets", false, "list the state of each target as each instance sees it")
	return cmd
}

func statusLines(s explain.EdgeStatus, targets bool) []string {
	source := "another instance"
	if s.ReadsStore {
		source = "the store"
	}
	lines := []string{fmt.Sprintf("%s in %s: configuration %d, %d targets, %d flows, reads from %s",
		s.Instance, s.Zone, s.Config, len(s.Targets), s.Flows, source)}
	for _, k := range s.Kinds {
		if !k.Listed {
			lines = append(lines, fmt.Sprintf("  %s: not received yet", k.Kind))
			continue
		}
		lines = append(lines, fmt.Sprintf("  %s: version %d in epoch %d of the store, %d ms old", k.Kind, k.Version, k.Epoch, k.AgeMillis))
	}
	for _, e := range s.Evacuations {
		lines = append(lines, fmt.Sprintf("  %s is evacuated: known for %d ms, version %d in epoch %d of the store", e.Zone, e.SinceMillis, e.Version, e.Epoch))
	}
	for _, tg := range s.Targets {
		if !targets {
			continue
		}
		line := fmt.Sprintf("  %s of %s in %s: %s, %d flows, %d requests in flight, %d ms",
			tg.Target, tg.Service, tg.Zone, tg.State, tg.Open, tg.Busy, tg.LatencyMillis)
		if tg.Pace > 0 {
			line += fmt.Sprintf(", pace %.2f", tg.Pace)
		}
		if a := tg.Allowance; a != nil {
			line += fmt.Sprintf(", cold: %d of %d flows a second used", a.Used, a.Share)
		}
		lines = append(lines, line+reportedText(tg))
	}
	return lines
}

// reportedText returns what other instances report of a target, or "".
func reportedText(tg explain.TargetStatus) string {
	if tg.ReportedBy == 0 {
		return ""
	}
	text := fmt.Sprintf(", reported by %d", tg.ReportedBy)
	if tg.ReportedSilent {
		text += ", silent"
	}
	if tg.ReportedLatency > 0 {
		text += fmt.Sprintf(", latency %d %% of the usual", tg.ReportedLatency)
	}
	return text
}
