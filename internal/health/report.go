package health

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// PayloadKind is the kind of membership payload that carries a Report.
const PayloadKind = 1

// Key identifies a target of a service. Several services may have a target at one
// address.
type Key struct {
	Service service.ID `cbor:"1,keyasint"`
	Target  target.ID  `cbor:"2,keyasint"`
}

// Verdict is a prober's view of a target.
type Verdict uint8

// Verdicts.
const (
	// Unknown means that too few probes have completed.
	Unknown Verdict = iota
	// Healthy means that the last probes were answered.
	Healthy
	// Failed means that the last probes were not answered.
	Failed
)

// PassiveOutcomes counts the outcomes of client traffic at a target since the
// instance's last report.
type PassiveOutcomes struct {
	Answered uint16 `cbor:"1,keyasint,omitempty"`
	Failed   uint16 `cbor:"2,keyasint,omitempty"`
}

// Observation is one instance's view of one target.
type Observation struct {
	Key     Key             `cbor:"1,keyasint"`
	Verdict Verdict         `cbor:"2,keyasint,omitempty"`
	Passive PassiveOutcomes `cbor:"3,keyasint,omitempty"`
	// Load is the load that the target reported in percent of its capacity. It is
	// only valid if Reported is set.
	Load     uint8 `cbor:"4,keyasint,omitempty"`
	Reported bool  `cbor:"5,keyasint,omitempty"`
}

// Report is the health report that an instance sends to the leader.
type Report struct {
	Observations []Observation `cbor:"1,keyasint"`
}

// Encode returns the report as the data of a membership payload.
func (r Report) Encode() ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode health report")
	}
	return b, nil
}

// DecodeReport decodes the data of a membership payload.
func DecodeReport(data []byte) (Report, error) {
	var r Report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Report{}, errors.Wrap(err, "decode health report")
	}
	return r, nil
}

const (
	// ProbeInterval is the time between two probes of a target by one instance.
	ProbeInterval = time.Second
	// ProbeTimeout is the time after which an unanswered probe has failed.
	ProbeTimeout = 800 * time.Millisecond
	// failThreshold is the number of consecutive failed probes for the verdict Failed.
	failThreshold = 2
	// passThreshold is the number of consecutive answered probes after which a
	// verdict changes from Failed to Healthy. It is larger than failThreshold, so that
	// a target that answers only sometimes is not readmitted and ejected repeatedly.
	passThreshold = 5
	// repeatInterval is the interval at which unchanged observations are reported again.
	repeatInterval = 5 * time.Second
	// loadReportStepPercent is the change of load that is reported at once, in
	// percentage points.
	loadReportStepPercent = 20
)
