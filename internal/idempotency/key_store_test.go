package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// Guards against unbounded memory, and against records that are evicted before the
// retention period ends because there are many answers or records.
func TestMemoryIsBounded(t *testing.T) {
	self := instance.Ref{ID: "i1", Incarnation: 1, Zone: "z"}
	h := New(self, Limits{Records: 50, AnswerBytes: 100, TotalBytes: 1000})
	h.Install(0, &zone.Table{Zone: "z", Roster: []instance.Ref{self}, Homes: []zone.HomeSet{{Number: 1, Members: []instance.Ref{self}}}})
	key := func(i int) Key { return Key{Service: "s", Value: fmt.Sprint(i)} }
	for i := range 50 {
		must.Eq(t, Run, h.Begin(0, key(i), Fingerprint{}, true).Kind)
		must.True(t, h.ConfirmSend(0, key(i), true))
		h.Answered(key(i), &Answer{Status: 200, Body: make([]byte, 90+i%2*20)})
	}
	records, bytes := h.Size()
	must.Eq(t, 50, records)
	must.LessEq(t, 1000, bytes)
	must.Eq(t, 25, h.Counts()[CountAnswerTooLarge])
	must.Eq(t, 14, h.Counts()[CountAnswersDropped])
	must.Eq(t, Replay, h.Begin(0, key(48), Fingerprint{}, true).Kind)
	must.Eq(t, AnswerGone, h.Begin(0, key(0), Fingerprint{}, true).Reason)
	must.Eq(t, TableFull, h.Begin(0, key(50), Fingerprint{}, true).Reason)
	must.Eq(t, Run, h.Begin(10*time.Minute, key(50), Fingerprint{}, true).Kind)
}

// Guards against a rebuilt zone that runs keys which its former instances may have run.
func TestRebuiltZoneAnswersUnknown(t *testing.T) {
	self := instance.Ref{ID: "i1", Incarnation: 1, Zone: "z"}
	h := New(self, Limits{})
	h.MarkRebuilt()
	h.Install(time.Minute, &zone.Table{Zone: "z", Roster: []instance.Ref{self}, Homes: []zone.HomeSet{{Number: 1, Members: []instance.Ref{self}}}})
	k := Key{Service: "s", Value: "k"}
	must.Eq(t, HomeLost, h.Begin(10*time.Minute, k, Fingerprint{}, true).Reason)
	must.Eq(t, Run, h.Begin(11*time.Minute, k, Fingerprint{}, true).Kind)
}
