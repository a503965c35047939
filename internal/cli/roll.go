package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/user"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/operator"
)

// rollFlags are the flags of the command roll.
type rollFlags struct {
	settings, signatures, operator, previous string
	timeout                                  time.Duration
}

func (t *tool) rollCommand() *cobra.Command {
	var f rollFlags
	cmd := &cobra.Command{
		Use: "roll FILE", Short: "Roll a signed bundle and wait until it is in force in every zone", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return t.roll(c.Context(), args[0], f) },
	}
	cmd.Flags().StringVar(&f.settings, "settings", "guavaloom.ini", "operator settings")
	cmd.Flags().StringVar(&f.signatures, "signatures", "", "signature file (default FILE.sig)")
	cmd.Flags().StringVar(&f.operator, "operator", "", "operator name recorded with the roll (default: the user's name)")
	cmd.Flags().StringVar(&f.previous, "previous", "", "file of the current bundle, if the store lost parts of it")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 10*time.Minute, "how long to wait")
	return cmd
}

// store returns a client of the platform's object store. Its rate limit is above that
// of a daemon, because the operator's tool uploads whole bundles.
func store(s *Settings) objectstore.Store {
	return objectstore.New(objectstore.Config{URL: s.Platform, Rate: 150, Burst: 150, Timeout: 10 * time.Second})
}

func (t *tool) roll(ctx context.Context, file string, f rollFlags) error {
	settings, settingsErr := LoadSettings(f.settings)
	b, err := loadBundle(file)
	if err := errors.Join(settingsErr, err); err != nil {
		return err
	}
	if want := slices.Sorted(slices.Values(settings.Zones)); len(want) > 0 && !slices.Equal(want, b.Zones) {
		return refused{errors.Errorf("%s: zones are %v, the settings require %v", file, b.Zones, want)}
	}
	if f.signatures == "" {
		f.signatures = file + ".sig"
	}
	signatures, err := loadSignatures(f.signatures, b.Digest())
	if errors.Is(err, os.ErrNotExist) {
		return refused{errors.Wrap(err, "bundle is not signed")}
	}
	if err != nil {
		return refused{err}
	}
	var previous *bundle.Bundle
	if f.previous != "" {
		if previous, err = loadBundle(f.previous); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	r := &operator.Roll{Store: store(settings), Policy: settings.Policy, Bundle: b, Signatures: signatures, Previous: previous,
		ID: newRollID(), Operator: operatorName(f.operator), Pause: operator.Sleep}
	if err := r.Start(ctx); err != nil {
		return refused{err}
	}
	return t.follow(ctx, r)
}

func (t *tool) follow(ctx context.Context, r *operator.Roll) error {
	if t.output == "text" {
		t.print(nil, fmt.Sprintf("roll %s: revision %s is stored", r.ID, r.Bundle.Revision))
	}
	var last []operator.Progress
	err := r.Wait(ctx, func(p []operator.Progress) {
		last = p
		if t.output == "text" {
			t.print(nil, progressLines(p)...)
		}
	})
	if err == nil {
		if cleanErr := r.DeleteUnusedParts(ctx); cleanErr != nil {
			_, _ = fmt.Fprintf(t.Err, "deleting old bundle parts from the store failed: %v\n", cleanErr)
		}
	}
	result := map[string]any{"roll_id": r.ID, "revision": r.Bundle.Revision.String(), "in_force": err == nil, "zones": last}
	if err != nil {
		if t.output == "json" {
			result["error"] = err.Error()
			t.print(result)
			return refused{errors.New("not in force")}
		}
		return refused{err}
	}
	t.print(result, fmt.Sprintf("revision %s is in force in %d zones", r.Bundle.Revision, len(last)))
	return nil
}

func progressLines(list []operator.Progress) []string {
	var lines []string
	for _, p := range list {
		state := fmt.Sprintf("revision %s, %d of %d instances behind", p.Revision, p.Behind, p.Instances)
		if p.InForce {
			state = "in force"
		}
		lines = append(lines, fmt.Sprintf("zone %s: %s", p.Zone, state))
		if p.InForce {
			continue
		}
		for _, l := range p.Laggards {
			lines = append(lines, fmt.Sprintf("  %s at %s: %s", l.Instance, l.InForce, l.Reason))
		}
	}
	return lines
}

func newRollID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func operatorName(given string) string {
	if given != "" {
		return given
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
