package simulation

import (
	"bytes"
	"fmt"
	"strings"

	"guavaloom.example/guavaloom/internal/steering"
	"guavaloom.example/guavaloom/internal/zone"
)

// watchedClient returns the flow that is traced in full, or nil.
func (w *world) watchedClient() *client {
	if w.watched == 0 || len(w.flows) < w.watched {
		return nil
	}
	return w.flows[w.watched-1]
}

func (w *world) traceTransfer(from *host, a steering.Transfer) {
	c := w.watchedClient()
	if c == nil {
		return
	}
	src := c.key.Src.As16()
	if bytes.Contains(a.Batch.Records, src[:]) {
		w.trace(transit{flow: c}, "%v transfer %d for set %d from %s to %s", w.now, a.Batch.Number, a.Batch.HomeSet, from.ref, a.To)
	}
}

// traceInstall shows what each instance knows of the watched flow when a table is installed.
func (w *world) traceInstall(h *host, t *zone.Table) {
	c := w.watchedClient()
	if c == nil || c.over {
		return
	}
	h.st.SetLease(1 << 62) // set again before each packet
	e := h.st.Explain(h.clock(), steering.Packet{Key: c.key})
	var homes strings.Builder
	for _, s := range t.Homes {
		fmt.Fprintf(&homes, " %d:", s.Number)
		for _, m := range s.Members {
			fmt.Fprintf(&homes, "%s ", m)
		}
	}
	w.trace(transit{flow: c}, "%v installed at %s: %v\n        homes%s", w.now, h.ref, strings.Join(e.Steps, "; "), homes.String())
}
