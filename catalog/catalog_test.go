package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

func route(name, host, prefix string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, RequestKind: Idempotent, Timeout: time.Second, MaxAttempts: 1,
		Shares: []Share{{Service: "desk", Weight: 1}},
	}
}

func snapshot(t *testing.T, routes ...Route) *Snapshot {
	s, findings := New(Configuration{Version: 3, Services: []Service{{Name: "desk"}, {Name: "other"}}, Routes: routes})
	require.NoError(t, findings.Err())
	return s
}

func TestLongestPrefixWins(t *testing.T) {
	s := snapshot(t, route("root", "a.example", "/"), route("long", "a.example", "/x/y/"), route("short", "a.example", "/x/"), route("b", "b.example", "/z/"))
	for path, want := range map[string]string{"/": "root", "/x": "root", "/x/": "short", "/x/y": "short", "/x/y/": "long", "/x/y/z/1": "long", "/xy/": "root"} {
		require.Equal(t, want, s.Match("a.example", path).Name, path)
	}
	require.Equal(t, "long", s.Match("A.example:8080", "/x/y/").Name)
	require.Nil(t, s.Match("b.example", "/x/"))
	require.Nil(t, s.Match("c.example", "/"))
	require.Nil(t, s.Match("b.example", ""))
}

func TestChooseServiceByWeight(t *testing.T) {
	r := route("split", "a.example", "/")
	r.Shares = []Share{{"desk", 90}, {"none", 0}, {"other", 10}}
	require.Equal(t, "desk", r.ChooseService(0))
	require.Equal(t, "desk", r.ChooseService(0.899))
	require.Equal(t, "other", r.ChooseService(0.9))
	require.Equal(t, "other", r.ChooseService(0.999))
}

func TestAuthenticate(t *testing.T) {
	s, findings := New(Configuration{Workspaces: []Workspace{{Name: "guild", Keys: []string{"k1", "k2"}}, {Name: "venue", Keys: []string{"k3"}}}})
	require.NoError(t, findings.Err())
	w, ok := s.Authenticate("k2")
	require.True(t, ok)
	require.Equal(t, "guild", w.Name)
	for _, key := range []string{"", "k4", "k"} {
		_, ok = s.Authenticate(key)
		require.False(t, ok, key)
	}
	require.True(t, s.RequiresKeys())
}

// TestFindings checks that every invalid field is reported with its path.
func TestFindings(t *testing.T) {
	unknown := route("unknown", "a.example", "/u/")
	unknown.Shares = []Share{{"nobody", 1}}
	weightless := route("weightless", "a.example", "/w/")
	weightless.Shares = []Share{{"desk", 0}}
	timeless := route("timeless", "a.example", "/t/")
	timeless.Timeout = 0
	kindless := route("kindless", "a.example", "/k/")
	kindless.RequestKind = 0
	_, findings := New(Configuration{
		Version:    7,
		Services:   []Service{{Name: "desk"}, {Name: "desk"}, {}},
		Routes:     []Route{unknown, weightless, timeless, kindless, route("one", "a.example", "/same/"), route("two", "A.example", "/same/"), route("bare", "a.example", "bare")},
		Workspaces: []Workspace{{Name: "guild", Keys: []string{"k1"}}, {Name: "venue", Keys: []string{"k2", "k1"}}, {}},
	})
	goldie.New(t).Assert(t, "findings", []byte(strings.Join(findings.Lines(), "\n")+"\n"))
}
