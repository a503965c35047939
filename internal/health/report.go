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

// Key names a target of a service; an address may serve several services.
type Key struct {
	Service service.ID `cbor:"1,keyasint"`
	Target  target.ID  `cbor:"2,keyasint"`
}

// Verdict is a prober's view of a target.
type Verdict uint8

// Verdicts.
const (
	// Unknown: too few probes so far.
	Unknown Verdict = iota
	// Healthy: the last probes were answered.
	Healthy
	// Failed: the last probes were not answered.
	Failed
)

// PassiveOutcomes is what an instance saw of a target's real work since its last report.
type PassiveOutcomes struct {
	Answered uint16 `cbor:"1,keyasint,omitempty"`
	Failed   uint16 `cbor:"2,keyasint,omitempty"`
}

// Observation is one instance's view of one target.
type Observation struct {
	Key     Key             `cbor:"1,keyasint"`
	Verdict Verdict         `cbor:"2,keyasint,omitempty"`
	Passive PassiveOutcomes `cbor:"3,keyasint,omitempty"`
	// Load is the target's own report in percent of its capacity; Reported tells
	// that there is one.
	Load     uint8 `cbor:"4,keyasint,omitempty"`
	Reported bool  `cbor:"5,keyasint,omitempty"`
}

// Report is what an instance sends to the leader.
type Report struct {
	Observations []Observation `cbor:"1,keyasint"`
}

// Encode returns the payload's data.
func (r Report) Encode() ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode health report")
	}
	return b, nil
}

// DecodeReport returns the report in a payload's data.
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
	// ProbeTimeout is when a probe counts as failed.
	ProbeTimeout = 800 * time.Millisecond
	// failThreshold is how many probes in a row fail before a target is judged failed.
	failThreshold = 2
	// passThreshold is larger than failThreshold, so that a target that answers now and
	// then is not readmitted and ejected again and again.
	passThreshold = 5
	// repeatInterval is how often an unchanged verdict is reported again.
	repeatInterval = 5 * time.Second
	// loadReportStepPercent is the change of reported load that is worth a report, in percent.
	loadReportStepPercent = 20
)
