package edge

import (
	"fmt"
	"runtime/debug"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
)

// maxStackBytes is how much of a stack trace is logged, in bytes.
const maxStackBytes = 2048

// recoverPanic is deferred around the work on one piece of outside input, a packet or an
// entry of the store. Input that the code fails on costs that input and not the process,
// which would meet it again after each start. Broken invariants still end the process.
func (i *Instance) recoverPanic(part string) {
	p := recover()
	if p == nil {
		return
	}
	err, isError := p.(error)
	if isError && errors.As(err, new(invariant.Violation)) {
		panic(p)
	}
	stack := debug.Stack()
	i.metrics.Counter(metric.EdgeSkippedInputs, part).Inc(1)
	i.log.Event(lifecycleClass, "input skipped after a failure of the program", logrus.Fields{
		logfield.Part: part, logfield.Error: fmt.Sprint(p), logfield.Stack: string(stack[:min(len(stack), maxStackBytes)]),
	})
}
