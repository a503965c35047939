package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/cli"
)

// demo runs the command and returns the exit code and the report.
func demo(t *testing.T, args ...string) (int, Report) {
	t.Helper()
	var out, problems bytes.Buffer
	env := cli.Env{Out: &out, Err: &problems, Extra: []*cobra.Command{Command()}}
	code := cli.Run(context.Background(), env, append([]string{"demo", "--output", "json"}, args...))
	var r Report
	must.NoError(t, json.Unmarshal(out.Bytes(), &r), must.Sprint(out.String(), problems.String()))
	return code, r
}

// Guards against faults that appear only when all parts of the system run together.
func TestEveryPromiseHolds(t *testing.T) {
	t.Parallel()
	code, r := demo(t, "--seed", "7")
	must.SliceLen(t, 8, r.Promises)
	for _, p := range r.Promises {
		must.True(t, p.Held, must.Sprintf("%s: %s", p.Name, p.Figure))
	}
	must.Eq(t, cli.ExitDone, code)
	must.Positive(t, r.Flows.Opened)
	must.Positive(t, r.Requests.Keys)
}

// Guards against a demo that reports a promise as held although a fault breaks it.
func TestPlantedFaultsAreNoticed(t *testing.T) {
	for fault, promise := range map[string]string{
		PlainHash: "open flows survive all changes",
		DoubleRun: "a non-idempotent request runs at most once",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			code, r := demo(t, "--seed", "7", "--fault", fault)
			must.Eq(t, cli.ExitRefused, code)
			for _, p := range r.Promises {
				if p.Name == promise {
					must.False(t, p.Held)
				}
			}
		})
	}
}
