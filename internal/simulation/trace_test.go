package simulation

import (
	"flag"
	"strings"
	"testing"
)

var (
	traceSeed     = flag.Int64("trace", 0, "print the life of the first broken flow of a seed")
	traceSchedule = flag.String("schedule", "planned", "schedule of the traced run")
)

// TestTrace prints everything that concerns the first broken flow of a seed.
func TestTrace(t *testing.T) {
	if *traceSeed == 0 {
		t.Skip("needs -args -trace SEED")
	}
	schedule := schedules[*traceSchedule]
	f := runFlows(*traceSeed, settingOf(*traceSeed), schedule, 0)
	t.Log(f, "\n", strings.Join(f.faults, "\n"))
	if f.broken > 0 {
		t.Log(runFlows(*traceSeed, settingOf(*traceSeed), schedule, f.number).first)
	}
}
