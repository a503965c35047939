package cli

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/explain"
)

func (t *tool) placementCommand(admin *string) *cobra.Command {
	var client string
	var all []string
	cmd := &cobra.Command{
		Use:   "placement ROUTE|IP:PORT",
		Short: "Explain to which target an edge instance would send a new flow now, and why; nothing is sent",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(all) == 0 {
				all = []string{*admin}
			}
			query := url.Values{"route": args, "client": {client}}
			var answers []explain.PlacementAnswer
			var lines, failed []string
			for _, address := range all {
				var a explain.PlacementAnswer
				if err := callAdmin(c.Context(), address, explain.PlacementPath+"?"+query.Encode(), nil, &a); err != nil {
					failed = append(failed, fmt.Sprintf("%s: %v", address, err))
					continue
				}
				answers = append(answers, a)
				lines = append(lines, placementLines(a)...)
			}
			t.print(answers, lines...)
			if len(failed) > 0 {
				return refused{errors.New(strings.Join(failed, "\n"))}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&client, "client", "", "address IP:PORT of the client; it matters for routes with several services and in a crowd")
	cmd.Flags().StringSliceVar(&all, "all", nil, "admin addresses of the instances to ask, in place of --admin")
	return cmd
}

func placementLines(a explain.PlacementAnswer) []string {
	head := fmt.Sprintf("%s in %s: %s", a.Instance, a.Zone, a.Decision)
	if a.Reason != "" {
		head += ", " + a.Reason
	}
	if a.Target != "" {
		head += ", target " + a.Target
	}
	lines := []string{
		head,
		fmt.Sprintf("  route %s, service %s, full %t, %d instances, configuration %d ms old, targets %d ms old",
			a.Route, a.Service, a.Full, a.Instances, a.ConfigAgeMillis, a.TargetsAgeMillis),
	}
	if len(a.Evacuated) > 0 {
		lines = append(lines, "  evacuated: "+strings.Join(a.Evacuated, ", "))
	}
	for _, tg := range a.Targets {
		lines = append(lines, placementTargetLine(tg))
	}
	return lines
}

func placementTargetLine(tg explain.PlacementTarget) string {
	line := fmt.Sprintf("  %s in %s: ", tg.Target, tg.Zone)
	if tg.Skipped != "" {
		line += "skipped, " + tg.Skipped
	} else {
		line += fmt.Sprintf("cost %.2f, utilization %.2f", tg.Cost, tg.Utilization)
	}
	if tg.LastResort {
		line += ", last resort"
	}
	line += fmt.Sprintf(", %d flows, %d requests in flight, %d ms", tg.Open, tg.Busy, tg.LatencyMillis)
	if tg.Pace > 0 {
		line += fmt.Sprintf(", pace %.2f", tg.Pace)
	}
	if tg.Allowance != nil {
		line += fmt.Sprintf(", cold: %d of %d flows a second used", tg.Allowance.Used, tg.Allowance.Share)
	}
	return line
}
