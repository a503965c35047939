package edge

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/overload"
	"guavaloom.example/guavaloom/internal/service"
)

var _ forwarding.OverloadObserver = observer{}

// overloadOutcome identifies a counter of new flows of full services.
type overloadOutcome struct {
	class   overload.Class
	outcome overload.Outcome
}

// countOverload counts a new flow of a full service. The caller holds Instance.mu.
func (c *counters) countOverload(o overloadOutcome) {
	counter := c.overload[o]
	if counter == nil {
		label := fmt.Sprintf("%s:%d:%s", o.outcome, o.class.Priority, o.class.Kind)
		counter = c.set.Counter(metric.EdgeOverload, label)
		c.overload[o] = counter
	}
	counter.Inc(1)
}

// ObserveOverload implements forwarding.OverloadObserver.
func (o observer) ObserveOverload(c overload.Class, outcome overload.Outcome) {
	o.i.counters.countOverload(overloadOutcome{c, outcome})
}

// ServiceFull implements forwarding.OverloadObserver.
func (o observer) ServiceFull(_ time.Duration, id service.ID, full bool, l forwarding.LoadReport) {
	message := "service recovered"
	if full {
		message = "service full"
	}
	o.i.log.Event(targetClass, message, logrus.Fields{
		logfield.Service: string(id), logfield.Busy: l.Busy, logfield.Candidates: l.Candidates, logfield.Late: l.Late,
	})
}
