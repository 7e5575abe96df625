package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/platform/standin"
)

// TestShortSoak plays some seeds with the real programs. Times are stretched so
// that a slow machine changes no verdict; `auburnbench soak` judges by the
// promised ones.
func TestShortSoak(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "auburnscale")
	out, err := exec.Command("go", "build", "-o", program, "auburnscale/cmd/auburnscale").CombinedOutput()
	require.NoError(t, err, string(out))
	seeds := append([]uint64{0, 1, 2}, slices.Sorted(maps.Keys(Regressions))...)
	for _, seed := range seeds {
		report, err := Run(context.Background(), Config{
			Program: program, Folder: filepath.Join(folder, fmt.Sprint(seed)), Seed: seed, Controls: 3, Entries: 2, Span: 4 * time.Second, Patience: 20,
		})
		require.NoError(t, err)
		require.Empty(t, report.Findings, report.String())
		require.Positive(t, report.Served)
	}
}

func TestPlanIsItsSeeds(t *testing.T) {
	require.Equal(t, Plan(7, 15*time.Second), Plan(7, 15*time.Second))
	require.NotEqual(t, Plan(7, 15*time.Second), Plan(10, 15*time.Second))
	seen := map[Kind]bool{}
	for seed := range uint64(60) {
		for n, f := range Plan(seed, 15*time.Second) {
			seen[f.Kind] = true
			require.Less(t, f.At, 15*time.Second)
			require.Positive(t, f.For)
			if n > 0 {
				require.GreaterOrEqual(t, f.At, Plan(seed, 15*time.Second)[n-1].At)
			}
			if seed%3 == 0 {
				require.True(t, f.Kind.Planned(), "%s in a plan of ordinary work", f.Kind)
			}
		}
	}
	for _, k := range append(append([]Kind(nil), plannedKinds...), unplannedKinds...) {
		require.True(t, seen[k], "%s is never drawn", k)
	}
}

var noon = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return noon.Add(time.Duration(seconds * float64(time.Second)))
}

// kept is a history that breaks no promise: one request is served after the
// last fault, and the acknowledged version is read.
func kept() *History {
	h := newHistory()
	h.Healed, h.Judged = after(20), after(32)
	h.Attempts = []Attempt{served("last", 33)}
	h.Runs["last"] = 1
	h.Sent[3], h.Acks = after(1), []Ack{{3, after(1.5)}}
	h.Readings = []Reading{{"control0", 3, after(30)}}
	return h
}

func served(id string, at float64) Attempt {
	return Attempt{
		ID: id, Route: "/orders/", Once: true, Entry: "entry0", Incarnation: 1, Begun: after(at),
		Answer: standin.Response{Status: http.StatusOK, Stamp: "stamp-i", ID: id, Complete: true, Sent: after(at), Ended: after(at + 0.1)},
	}
}

func TestKeptPromises(t *testing.T) {
	require.Empty(t, kept().Check(promised))
}

// TestBrokenPromises has a history for each promise that breaks just it.
func TestBrokenPromises(t *testing.T) {
	answered := func(h *History, status int) *Attempt {
		a := served("a", 2)
		a.Answer.Status = status
		h.Attempts = append(h.Attempts, a)
		return &h.Attempts[len(h.Attempts)-1]
	}
	version := func(h *History, v uint64, at float64, status int) {
		a := answered(h, status)
		a.ID = fmt.Sprint("v", v, at)
		a.Answer.ID, a.Version, a.Once = a.ID, v, false
		a.Begun, a.Answer.Sent, a.Answer.Ended = after(at), after(at), after(at+0.1)
	}
	call := func(h *History, subject, holder, body string, fence uint64, at float64) {
		h.Calls = append(h.Calls, standin.ExternalAction{At: after(at), Subject: subject, Holder: holder, Fence: fence, Body: body})
	}
	cases := []struct {
		promise string
		name    string
		do      func(h *History)
	}{
		{"at most once", "two runs", func(h *History) { answered(h, 502); h.Runs["a"] = 2 }},
		{"not run is true", "refused and run", func(h *History) { answered(h, 503); h.Runs["a"] = 1 }},
		{"answers are the caller's own", "another id", func(h *History) { answered(h, 200).Answer.ID = "b" }},
		{"whole answers", "a part", func(h *History) { answered(h, 200).Wrong = "an event is missing" }},
		{"nothing proper is denied", "404", func(h *History) { answered(h, 404) }},
		{"keys stay inside", "a key", func(h *History) {
			h.Arrivals = []Arrival{{Target: "i", ID: "a", Tenant: workspaceName, Key: "Bearer x", At: after(2)}}
		}},
		{"keys stay inside", "a workspace", func(h *History) { h.Arrivals = []Arrival{{Target: "i", ID: "a", Tenant: "other", At: after(2)}} }},
		{"versions never go back", "older after newer", func(h *History) { version(h, 3, 4, 200); version(h, 2, 5, 200) }},
		{"what is invalid is not in force", "served", func(h *History) { h.Invalid[2] = true; version(h, 2, 5, 200) }},
		{"what is invalid is not in force", "read", func(h *History) { h.Invalid[9] = true; h.Readings[0].Version = 9 }},
		{"changes are in force in time", "404 long after", func(h *History) { version(h, 3, 9, 404) }},
		{"no older configuration is read", "older", func(h *History) { h.Readings = append(h.Readings, Reading{"control1", 2, after(9)}) }},
		{"planned stops lose nothing", "cut", func(h *History) {
			h.Stops = []Span{{From: after(1), To: after(10), On: "entry0"}}
			a := answered(h, 0)
			a.Answer.Err, a.Answer.Complete = errors.New("EOF"), false
			h.Runs["a"] = 1
		}},
		{"leaving targets get nothing new", "late", func(h *History) {
			h.Leaves = []Span{{From: after(1), On: "i"}}
			h.Arrivals = []Arrival{{Target: "i", ID: "a", Tenant: workspaceName, At: after(3.5)}}
		}},
		{"one holder", "same fence", func(h *History) { call(h, "s", "a", "", 4, 1); call(h, "s", "b", "", 4, 9) }},
		{"one holder", "lower fence", func(h *History) { call(h, "s", "a", "", 4, 1); call(h, "s", "b", "", 3, 9) }},
		{"one holder", "turns", func(h *History) {
			call(h, "s", "a", "", 4, 1)
			call(h, "s", "b", "", 5, 2)
			call(h, "s", "a", "", 6, 3)
		}},
		{"one report for a window", "two counts", func(h *History) {
			call(h, "usage", "a", "7 map[guild:1]", 4, 1)
			call(h, "usage", "a", "7 map[guild:2]", 4, 2)
		}},
		{"processes run on", "an end", func(h *History) { h.OwnEnds = []string{"entry0 ended"} }},
		{"service comes back", "nothing served", func(h *History) { h.Attempts[0].Answer.Status = 503; h.Runs = map[string]int{} }},
		{"nothing acknowledged is lost", "an older one is read at the end", func(h *History) {
			h.Acks = append(h.Acks, Ack{5, after(19.9)})
			h.Readings[0].Sent = after(21)
		}},
	}
	for _, c := range cases {
		t.Run(c.promise+"/"+c.name, func(t *testing.T) {
			h := kept()
			c.do(h)
			findings := h.Check(promised)
			require.Len(t, findings, 1, "%v", findings)
			require.Equal(t, c.promise, findings[0].Promise)
		})
	}
}

// TestFaultsExcuse has what is allowed beside a fault.
func TestFaultsExcuse(t *testing.T) {
	h := kept()
	h.Disturbed = []Span{{From: after(0), To: after(8)}}
	h.Leaves = []Span{{From: after(1), On: "i"}}
	h.Arrivals = []Arrival{{Target: "i", ID: "a", Tenant: workspaceName, At: after(3.5)}}
	late := served("late", 9)
	late.ID, late.Version, late.Once, late.Answer.Status = "late", 3, false, http.StatusNotFound
	h.Attempts = append(h.Attempts, late)
	h.Calls = []standin.ExternalAction{
		{At: after(1), Subject: "s", Holder: "a", Fence: 4}, {At: after(2), Subject: "s", Holder: "b", Fence: 5},
		{At: after(8.1), Subject: "s", Holder: "a", Fence: 4},
	}
	require.Empty(t, h.Check(promised))
}

// TestRebornTargetIsAnother has a target that left start again under its name.
func TestRebornTargetIsAnother(t *testing.T) {
	h := kept()
	h.Leaves = []Span{{From: after(1), On: birthName("i", 1)}}
	h.Arrivals = []Arrival{{Target: birthName("i", 2), ID: "a", Tenant: workspaceName, At: after(6)}}
	require.Empty(t, h.Check(promised))
	h.Arrivals[0].Target = birthName("i", 1)
	require.Len(t, h.Check(promised), 1)
}
