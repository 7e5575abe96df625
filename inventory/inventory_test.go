package inventory

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestFindings parses each invalid configuration in testdata and compares all its
// findings, with their positions, to the golden file of the same name.
func TestFindings(t *testing.T) {
	files, err := filepath.Glob("testdata/*.inventory.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".inventory.toml")
		t.Run(name, func(t *testing.T) {
			inventoryTOML, err := os.ReadFile(file)
			require.NoError(t, err)
			rulesTOML, err := os.ReadFile("testdata/" + name + ".rules.toml")
			require.NoError(t, err)
			snapshot, findings := Parse(1, inventoryTOML, rulesTOML)
			require.Nil(t, snapshot)
			goldie.New(t).Assert(t, name, []byte(strings.Join(findings.Lines(), "\n")+"\n"))
		})
	}
}

const baseInventory = `
[[failure_domains]]
name = "hobart"
[[services]]
name = "rider"
kind = "engine"
models = ["rider"]
[[services]]
name = "desk"
kind = "plain"
non_idempotent = ["GET /draw"]
idempotent = ["POST /quotes"]
[[workspaces]]
name = "guild"
[[keys]]
id = "g"
workspace = "guild"
hash = "` + "HASH" + `"
`

func parseWithRules(t *testing.T, rules string) *Snapshot {
	snapshot, findings := Parse(1, []byte(strings.Replace(baseInventory, "HASH", HashKey("g.secret"), 1)), []byte(rules))
	require.NoError(t, findings.Err())
	return snapshot
}

func TestAuthenticate(t *testing.T) {
	s := parseWithRules(t, "")
	require.Equal(t, "g", s.Authenticate("g.secret").ID)
	for _, key := range []string{"", "g", "g.", "g.other", "x.secret", "g.secret "} {
		require.Nil(t, s.Authenticate(key), "%q", key)
	}
}

func TestIsNonIdempotent(t *testing.T) {
	desk := parseWithRules(t, "").Service("desk")
	cases := []struct {
		method, path  string
		nonIdempotent bool
	}{
		{"GET", "/orders", false}, {"GET", "/draw", true}, {"GET", "/draw/7", true}, {"GET", "/drawing", false},
		{"POST", "/orders", true}, {"POST", "/quotes", false}, {"POST", "/quotes/3", false}, {"POST", "/quotesX", true},
		{"PATCH", "/orders/1", true}, {"PUT", "/orders/1", false},
	}
	for _, c := range cases {
		require.Equal(t, c.nonIdempotent, desk.IsNonIdempotent(c.method, c.path), "%s %s", c.method, c.path)
	}
}

func TestHours(t *testing.T) {
	s := parseWithRules(t, "[[allow]]\nworkspace = \"guild\"\nservice = \"desk\"\nhours = \"22:00-06:00\"\ntime_zone = \"Australia/Hobart\"\n")
	hobart, err := time.LoadLocation("Australia/Hobart")
	require.NoError(t, err)
	at := func(hour int) time.Time { return time.Date(2026, 12, 3, hour, 30, 0, 0, hobart).UTC() }
	require.True(t, s.Allowed("guild", "desk", at(23)))
	require.True(t, s.Allowed("guild", "desk", at(5)))
	require.False(t, s.Allowed("guild", "desk", at(6)))
	require.False(t, s.Allowed("guild", "rider", at(23)))
}

func TestOpenRoute(t *testing.T) {
	s := parseWithRules(t, "[[open_routes]]\nservice = \"desk\"\npath = \"/menu\"\nworkspace = \"guild\"\n")
	for path, open := range map[string]bool{"/menu": true, "/menu/today": true, "/menus": false, "/": false} {
		_, got := s.OpenRoute("desk", path)
		require.Equal(t, open, got, path)
	}
}
