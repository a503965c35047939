package logfield

import (
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
)

// component is the field that marks events of go-zero.
const component = "component"

// RedirectGoZero makes go-zero log through l, so that a process has a single log
// format. It affects the whole process.
func RedirectGoZero(l logrus.FieldLogger) {
	logx.SetWriter(goZeroWriter{l.WithField(component, "go-zero")})
}

// goZeroWriter implements logx.Writer.
type goZeroWriter struct{ log logrus.FieldLogger }

func (w goZeroWriter) with(fields []logx.LogField) logrus.FieldLogger {
	log := w.log
	for _, f := range fields {
		log = log.WithField(f.Key, f.Value)
	}
	return log
}

// Alert implements logx.Writer.
func (w goZeroWriter) Alert(v any) { w.log.Error(fmt.Sprint(v)) }

// Close implements logx.Writer; the logger belongs to the caller.
func (w goZeroWriter) Close() error { return nil }

// Debug implements logx.Writer.
func (w goZeroWriter) Debug(v any, fields ...logx.LogField) { w.with(fields).Debug(fmt.Sprint(v)) }

// Error implements logx.Writer.
func (w goZeroWriter) Error(v any, fields ...logx.LogField) { w.with(fields).Error(fmt.Sprint(v)) }

// Info implements logx.Writer.
func (w goZeroWriter) Info(v any, fields ...logx.LogField) { w.with(fields).Info(fmt.Sprint(v)) }

// Severe implements logx.Writer.
func (w goZeroWriter) Severe(v any) { w.log.Error(fmt.Sprint(v)) }

// Slow implements logx.Writer.
func (w goZeroWriter) Slow(v any, fields ...logx.LogField) { w.with(fields).Warn(fmt.Sprint(v)) }

// Stack implements logx.Writer.
func (w goZeroWriter) Stack(v any) { w.log.Error(fmt.Sprint(v)) }

// Stat implements logx.Writer.
func (w goZeroWriter) Stat(v any, fields ...logx.LogField) { w.with(fields).Debug(fmt.Sprint(v)) }
