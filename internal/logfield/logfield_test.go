package logfield

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/zeromicro/go-zero/core/logx"
)

// Guards against events that span several lines, which line-based log collectors would split.
func TestOneLinePerEvent(t *testing.T) {
	for _, format := range []string{Text, JSON} {
		var out bytes.Buffer
		l, err := New(&out, "info", format)
		must.NoError(t, err)
		l.WithField(Reason, "a\nb").Info("x\ny")
		l.Debug("below the level")
		must.Eq(t, 1, bytes.Count(out.Bytes(), []byte("\n")), must.Sprint(format))
		must.Eq(t, format == JSON, json.Valid(out.Bytes()))
	}
	_, err := New(&bytes.Buffer{}, "info", "xml")
	must.Error(t, err)
	_, err = New(&bytes.Buffer{}, "loud", Text)
	must.Error(t, err)
}

// Guards against a second log format in one process.
func TestRedirectGoZero(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", JSON)
	must.NoError(t, err)
	RedirectGoZero(l)
	defer logx.Reset()
	logx.Errorw("handler failed", logx.Field(Reason, "timeout"))
	must.True(t, json.Valid(out.Bytes()))
	must.StrContains(t, out.String(), `"msg":"handler failed"`)
	must.StrContains(t, out.String(), `"reason":"timeout"`)
}
