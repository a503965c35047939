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

// maxStackBytes bounds the logged part of a stack trace.
const maxStackBytes = 2048

// recoverPanic is deferred around the handling of one external input, a packet or a store
// entry. A panic skips that input instead of ending the process, which would read the same
// store entry again after each restart. Broken invariants still end the process.
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
