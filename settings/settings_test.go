package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestFindings compares the findings about each file in testdata to the golden
// file of the same name.
func TestFindings(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		t.Run(name, func(t *testing.T) {
			_, findings := Read(file)
			goldie.New(t).Assert(t, name, []byte(strings.Join(findings.Lines(), "\n")+"\n"))
		})
	}
}

func TestMissingFile(t *testing.T) {
	_, findings := Read("testdata/none")
	require.ErrorContains(t, findings.Err(), "testdata/none")
}

// TestReference checks that docs/SETTINGS.md is up to date.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Equal(t, string(page), Reference())
}
