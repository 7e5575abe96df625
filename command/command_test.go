package command

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func run(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := Run(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestExamples checks the example configurations with the check command.
func TestExamples(t *testing.T) {
	for _, name := range []string{"guild", "primor"} {
		code, out, errOut := run("check", "--inventory", "../examples/"+name+".inventory.toml", "--rules", "../examples/"+name+".rules.toml")
		require.Zero(t, code, out+errOut)
		require.Equal(t, "no findings\n", out)
	}
}

func TestCheckPrintsEveryFinding(t *testing.T) {
	code, out, _ := run("check", "--settings", "../settings/testdata/faulty.toml", "--inventory", "../examples/guild.inventory.toml", "--rules", "../examples/primor.rules.toml")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "../settings/testdata/faulty.toml: listen.peer")
	require.Contains(t, out, `rules: allow[0].service: unknown name "dossier-reading"`)
}

func TestUsageErrors(t *testing.T) {
	code, _, errOut := run("check")
	require.Equal(t, exitUsage, code)
	require.Contains(t, errOut, "nothing to check")
	code, _, errOut = run("key", "new", "--workspace", "w", "--id", "a.b")
	require.Equal(t, exitUsage, code)
	require.Contains(t, errOut, "contains a dot")
	code, _, _ = run("serve", "--settings", "none.toml")
	require.Equal(t, exitFailed, code)
}

// TestReferencePages checks that the generated pages in docs are up to date.
func TestReferencePages(t *testing.T) {
	for page, file := range map[string]string{"settings": "../docs/SETTINGS.md", "events": "../docs/EVENTS.md"} {
		want, err := os.ReadFile(file)
		require.NoError(t, err)
		_, out, _ := run("reference", page)
		require.Equal(t, string(want), out)
	}
}
