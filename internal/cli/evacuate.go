package cli

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/operator"
)

// evacuateFlags are the flags of the command evacuate.
type evacuateFlags struct {
	settings, operator string
	withdraw           bool
	timeout            time.Duration
}

func (t *tool) evacuateCommand() *cobra.Command {
	var f evacuateFlags
	cmd := &cobra.Command{
		Use: "evacuate ZONE", Short: "Request that the targets of a zone get no new work, or withdraw the request", Args: cobra.ExactArgs(1),
		Long: "Requests that the targets of a zone of the current bundle get no new work, or withdraws the request.\n" +
			"The request is stored as evacuations/ZONE in the object API. guavaloomd applies it to requests; new flows\n" +
			"still go to the zone (docs/design/evacuation.md, section 7).",
		RunE: func(c *cobra.Command, args []string) error { return t.evacuate(c.Context(), args[0], f) },
	}
	cmd.Flags().StringVar(&f.settings, "settings", "guavaloom.ini", "operator settings")
	cmd.Flags().StringVar(&f.operator, "operator", "", "operator name recorded with the request (default: the user's name)")
	cmd.Flags().BoolVar(&f.withdraw, "withdraw", false, "withdraw the request")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 30*time.Second, "how long to try while the outcome is unknown")
	return cmd
}

// evacuateResult is the JSON form of the command's result.
type evacuateResult struct {
	operator.Evacuation
	// Evacuated is whether the request is in the store now, Changed whether it was not before
	// or, for a withdrawal, whether it was.
	Evacuated bool `json:"evacuated"`
	Changed   bool `json:"changed"`
}

func (t *tool) evacuate(ctx context.Context, zone string, f evacuateFlags) error {
	s, err := LoadSettings(f.settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	e := &operator.Evacuate{Store: store(s), Zone: zone, Operator: operatorName(f.operator), Pause: operator.Sleep}
	result := evacuateResult{Evacuation: operator.Evacuation{Zone: zone}, Evacuated: !f.withdraw}
	var line string
	if f.withdraw {
		result.Changed, err = e.Withdraw(ctx)
		line = fmt.Sprintf("zone %s: evacuation withdrawn", zone)
		if !result.Changed {
			line = fmt.Sprintf("zone %s: not evacuated", zone)
		}
	} else {
		result.Evacuation, result.Changed, err = e.Request(ctx)
		line = fmt.Sprintf("zone %s: evacuation requested, version %s", zone, result.Version)
		if !result.Changed {
			line = fmt.Sprintf("zone %s: evacuation was requested before and is confirmed, version %s", zone, result.Version)
		}
	}
	var unknown *operator.UnknownZoneError
	switch {
	case errors.As(err, &unknown):
		return err
	case err != nil:
		return refused{err}
	}
	t.print(result, line)
	return nil
}

// evacuationLine describes an evacuation in the output of status.
func evacuationLine(e operator.Evacuation, c *operator.Current) string {
	line := fmt.Sprintf("zone %s: evacuation requested, version %s", e.Zone, e.Version)
	if e.Operator != "" {
		line += ", by " + e.Operator
	}
	if c == nil || !slices.Contains(c.Zones(), e.Zone) {
		line += "; the current bundle does not name the zone"
	}
	return line
}
