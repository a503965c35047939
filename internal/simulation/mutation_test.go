package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var runMutations = flag.Bool("mutations", false, "run the named test of each planted defect")

// mutation is a planted defect and the test that has to fail with it.
type mutation struct {
	name, about, file, test string
	from, to                []string
}

// parseMutation reads "about:", "file:" and "test:" lines and replacements
// between <<<<, ==== and >>>>.
func parseMutation(t *testing.T, path string) mutation {
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	m := mutation{name: strings.TrimSuffix(filepath.Base(path), ".txt")}
	head, rest, ok := strings.Cut(string(text), "<<<<\n")
	must.True(t, ok, must.Sprint(path))
	for line := range strings.Lines(head) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch key {
		case "about":
			m.about = value
		case "file":
			m.file = value
		case "test":
			m.test = value
		}
	}
	for _, block := range strings.Split(rest, "<<<<\n") {
		from, to, _ := strings.Cut(block, "====\n")
		to, _, ok := strings.Cut(to, ">>>>\n")
		must.True(t, ok, must.Sprint(path))
		m.from, m.to = append(m.from, strings.TrimSuffix(from, "\n")), append(m.to, strings.TrimSuffix(to, "\n"))
	}
	return m
}

func mutations(t *testing.T) []mutation {
	paths, err := filepath.Glob("testdata/mutations/*.txt")
	must.NoError(t, err)
	var out []mutation
	for _, p := range paths {
		out = append(out, parseMutation(t, p))
	}
	return out
}

// Guards against mutations that no longer fit the sources.
func TestMutationsApply(t *testing.T) {
	for _, m := range mutations(t) {
		source, err := os.ReadFile(filepath.Join("../..", m.file))
		must.NoError(t, err)
		for _, from := range m.from {
			must.EqOp(t, 1, strings.Count(string(source), from), must.Sprintf("%s: its text must occur once in %s", m.name, m.file))
		}
	}
}

// TestMutations plants each defect with go test -overlay and runs its test.
//
//	go test ./internal/simulation -run 'Mutations$' -v -timeout 30m -args -mutations
func TestMutations(t *testing.T) {
	if !*runMutations {
		t.Skip("needs -args -mutations")
	}
	for _, m := range mutations(t) {
		t.Run(m.name, func(t *testing.T) {
			verdict := m.run(t)
			fmt.Printf("mutation %-28s %-7s %s (%s)\n", m.name, verdict, m.about, m.test)
			must.EqOp(t, "caught", verdict)
		})
	}
}

// run returns caught if the named test fails, missed if it passes.
func (m mutation) run(t *testing.T) string {
	root, err := filepath.Abs("../..")
	must.NoError(t, err)
	dir := t.TempDir()
	file := filepath.Join(root, m.file)
	source, err := os.ReadFile(file)
	must.NoError(t, err)
	mutant := filepath.Join(dir, "mutant.go")
	text := string(source)
	for i := range m.from {
		text = strings.Replace(text, m.from[i], m.to[i], 1)
	}
	must.NoError(t, os.WriteFile(mutant, []byte(text), 0o600))
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {file: mutant}})
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o600))
	args := append([]string{"test", "-count=1", "-overlay", filepath.Join(dir, "overlay.json")}, strings.Fields(m.test)...)
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	must.StrNotContains(t, string(out), "[build failed]")
	must.StrNotContains(t, string(out), "no tests to run")
	if err != nil {
		return "caught"
	}
	return "missed"
}
