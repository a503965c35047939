package doccheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/request"
)

const (
	root = "../.."
	page = root + "/docs/OPERATIONS.md"
)

// files returns the parsed files of a package, tests left out.
func files(t *testing.T, dir string) []*ast.File {
	names, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	must.NoError(t, err)
	var out []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		must.NoError(t, err)
		out = append(out, f)
	}
	must.NotEq(t, 0, len(out), must.Sprint(dir))
	return out
}

func text(e ast.Expr) string {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return ""
	}
	s, err := strconv.Unquote(l.Value)
	if err != nil {
		panic(err)
	}
	return s
}

// texts returns the string literals below the nodes that match.
func texts(t *testing.T, dir string, match func(ast.Node) bool) []string {
	var out []string
	for _, f := range files(t, dir) {
		ast.Inspect(f, func(n ast.Node) bool {
			if n == nil || !match(n) {
				return true
			}
			ast.Inspect(n, func(in ast.Node) bool {
				if l, ok := in.(ast.Expr); ok && text(l) != "" {
					out = append(out, text(l))
				}
				return true
			})
			return true
		})
	}
	must.NotEq(t, 0, len(out), must.Sprint(dir))
	return out
}

// constants returns the values of the constants of a type.
func constants(t *testing.T, dir, kind string) []string {
	return texts(t, dir, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		id, typed := (*ast.Ident)(nil), false
		if ok {
			id, typed = v.Type.(*ast.Ident)
		}
		return typed && id.Name == kind
	})
}

// variable returns the texts in the value of a package variable or constant.
func variable(t *testing.T, dir, name string) []string {
	return texts(t, dir, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		return ok && v.Names[0].Name == name
	})
}

// argument returns the literal at a position of all calls of a function or method.
func argument(t *testing.T, dir, name string, at int) []string {
	var out []string
	for _, f := range files(t, dir) {
		ast.Inspect(f, func(n ast.Node) bool {
			c, ok := n.(*ast.CallExpr)
			if !ok || len(c.Args) <= at {
				return true
			}
			called := ""
			switch f := c.Fun.(type) {
			case *ast.Ident:
				called = f.Name
			case *ast.SelectorExpr:
				called = f.Sel.Name
			}
			if called == name && text(c.Args[at]) != "" {
				out = append(out, text(c.Args[at]))
			}
			return true
		})
	}
	must.NotEq(t, 0, len(out), must.Sprint(dir, name))
	return out
}

// declared returns every name that the page has to explain.
func declared(t *testing.T) map[string][]string {
	var metrics []string
	for _, f := range files(t, "internal/metric") {
		ast.Inspect(f, func(n ast.Node) bool {
			c, ok := n.(*ast.CompositeLit)
			if id, named := (*ast.Ident)(nil), false; ok {
				if id, named = c.Type.(*ast.Ident); named && id.Name == "Declaration" && len(c.Elts) > 0 {
					metrics = append(metrics, text(c.Elts[0]))
				}
			}
			return true
		})
	}
	var requests []string
	for _, r := range request.Reasons() {
		requests = append(requests, r.Name)
	}
	ports := texts(t, "internal/daemon", func(n ast.Node) bool {
		b, ok := n.(*ast.BinaryExpr)
		return ok && b.Op == token.ADD && strings.HasPrefix(text(b.Y), "_")
	})
	for i, suffix := range ports {
		ports[i] = "packet" + suffix
		ports = append(ports, "relay"+suffix)
	}
	refusals := texts(t, "internal/peer", func(n ast.Node) bool {
		c, ok := n.(*ast.CompositeLit)
		id, named := (*ast.Ident)(nil), false
		if ok {
			id, named = c.Type.(*ast.Ident)
		}
		return named && id.Name == "refusal"
	})
	pins := texts(t, "internal/daemon", func(n ast.Node) bool {
		f, ok := n.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		_, function := f.Value.(*ast.FuncLit)
		return function && text(f.Key) != ""
	})
	return map[string][]string{
		"metric":           metrics,
		"request reason":   requests,
		"steering reason":  variable(t, "internal/steering", "reasonNames")[1:], // without "none"
		"packet reason":    texts(t, "internal/packet", func(n ast.Node) bool { f, ok := n.(*ast.FuncDecl); return ok && f.Name.Name == "Reason" }),
		"receiver reason":  ports,
		"pin event":        pins,
		"zone event":       constants(t, "internal/membership", "EventKind"),
		"rollout reason":   constants(t, "internal/rollout", "ReportReason"),
		"refused peer":     slices.Concat(refusals, argument(t, "internal/peer", "newRefusal", 0), argument(t, "internal/peer", "Counter", 1)),
		"dropped message":  argument(t, "internal/peer", "countDropped", 0),
		"retry":            texts(t, "internal/peer", func(n ast.Node) bool { f, ok := n.(*ast.FuncDecl); return ok && f.Name.Name == "failureReason" }),
		"daemon counter":   argument(t, "internal/daemon", "Counter", 1),
		"dropped packet":   append(variable(t, "internal/daemon", "dropRelayHeader"), variable(t, "internal/daemon", "dropNoReceiver")...),
		"not ready reason": texts(t, "internal/daemon", func(n ast.Node) bool { f, ok := n.(*ast.FuncDecl); return ok && f.Name.Name == "notReady" }),
		"setting":          settingKeys(t),
		"edge reason":      constants(t, "internal/forwarding", "Reason"),
		"edge not ready":   texts(t, "internal/edge", func(n ast.Node) bool { f, ok := n.(*ast.FuncDecl); return ok && f.Name.Name == "notReady" }),
	}
}

// settingKeys returns SECTION.KEY for all keys of the daemon's settings.
func settingKeys(t *testing.T) []string {
	var out []string
	for _, f := range files(t, "internal/settings") {
		ast.Inspect(f, func(n ast.Node) bool {
			section, ok := n.(*ast.KeyValueExpr)
			if !ok || text(section.Key) == "" {
				return true
			}
			if keys, nested := section.Value.(*ast.CompositeLit); nested && keys.Type == nil {
				for _, e := range keys.Elts {
					if kv, isKey := e.(*ast.KeyValueExpr); isKey && text(kv.Key) != "" {
						out = append(out, text(section.Key)+"."+text(kv.Key))
					}
				}
				return false
			}
			return true
		})
	}
	must.NotEq(t, 0, len(out))
	return out
}

// Guards against a setting, metric or reason that an operator meets and the page does not explain.
// On a failure the test prints the missing names.
func TestPageExplainsDeclarations(t *testing.T) {
	raw, err := os.ReadFile(page)
	must.NoError(t, err)
	rows := map[string]bool{}
	for line := range strings.Lines(string(raw)) {
		// A name counts as explained in the first cell of a table row.
		if cells := strings.Split(line, "|"); len(cells) > 3 {
			for i, part := range strings.Split(cells[1], "`") {
				if i%2 == 1 {
					rows[part] = true
				}
			}
		}
	}
	var missing []string
	for kind, names := range declared(t) {
		must.NotEq(t, 0, len(names), must.Sprint(kind))
		for _, n := range names {
			if !rows[n] {
				missing = append(missing, fmt.Sprintf("%s %s", kind, n))
			}
		}
	}
	slices.Sort(missing)
	missing = slices.Compact(missing)
	must.SliceEmpty(t, missing, must.Sprintf("%s lacks:\n%s", page, strings.Join(missing, "\n")))
}
