package inventory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"auburnscale/diagnostic"
)

// A Snapshot is one validated version of the configuration. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	version    uint64
	inventory  *Inventory
	rules      *Rules
	services   map[string]*Service
	models     map[string]*Service
	targets    map[string]*Target
	byService  map[string][]*Target
	workspaces map[string]*Workspace
	keys       map[string]*Key
	allow      []allowRule
	limits     map[limitKey]Limit
}

type limitKey struct{ workspace, service string }

type allowRule struct {
	rule     Allow
	window   dailyWindow
	location *time.Location
}

// Parse validates the two files and returns their snapshot. The snapshot is nil
// if there are findings.
func Parse(version uint64, inventoryTOML, rulesTOML []byte) (*Snapshot, *diagnostic.List) {
	inv, rules, list := decodeAndCheck(inventoryTOML, rulesTOML)
	if list.Len() > 0 {
		return nil, list
	}
	return build(version, inv, rules), list
}

func build(version uint64, inv *Inventory, rules *Rules) *Snapshot {
	s := &Snapshot{
		version: version, inventory: inv, rules: rules,
		services: map[string]*Service{}, models: map[string]*Service{},
		targets: map[string]*Target{}, byService: map[string][]*Target{},
		workspaces: map[string]*Workspace{}, keys: map[string]*Key{},
		limits: map[limitKey]Limit{},
	}
	s.indexServices()
	for i := range inv.Workspaces {
		s.workspaces[inv.Workspaces[i].Name] = &inv.Workspaces[i]
	}
	for i := range inv.Keys {
		s.keys[inv.Keys[i].ID] = &inv.Keys[i]
	}
	s.indexRules()
	return s
}

func (s *Snapshot) indexServices() {
	for i := range s.inventory.Services {
		service := &s.inventory.Services[i]
		s.services[service.Name] = service
		for _, m := range service.Models {
			s.models[m] = service
		}
	}
	for i := range s.inventory.Targets {
		t := &s.inventory.Targets[i]
		s.targets[t.Name] = t
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
}

func (s *Snapshot) indexRules() {
	for _, a := range s.rules.Allow {
		window, _ := parseDailyWindow(a.Hours)
		location, _ := time.LoadLocation(a.TimeZone)
		s.allow = append(s.allow, allowRule{rule: a, window: window, location: location})
	}
	for _, l := range s.rules.Limits {
		s.limits[limitKey{l.Workspace, l.Service}] = l
	}
}

// Version returns the version number of the configuration.
func (s *Snapshot) Version() uint64 { return s.version }

// Currency returns the currency in millionths of which costs are given.
func (s *Snapshot) Currency() string { return s.inventory.Currency }

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// ServiceOfModel returns the engine service that serves the model, or nil.
func (s *Snapshot) ServiceOfModel(model string) *Service { return s.models[model] }

// Services returns all services in file order. The caller must not change them.
func (s *Snapshot) Services() []Service { return s.inventory.Services }

// Target returns the target with the given name, or nil.
func (s *Snapshot) Target(name string) *Target { return s.targets[name] }

// Targets returns the targets of the service in file order. The caller must not
// change them.
func (s *Snapshot) Targets(service string) []*Target { return s.byService[service] }

// AllTargets returns every target in file order.
func (s *Snapshot) AllTargets() []Target { return s.inventory.Targets }

// Workspace returns the workspace with the given name, or nil.
func (s *Snapshot) Workspace(name string) *Workspace { return s.workspaces[name] }

// Workspaces returns all workspaces in file order.
func (s *Snapshot) Workspaces() []Workspace { return s.inventory.Workspaces }

// FailureDomains returns all failure domains in file order.
func (s *Snapshot) FailureDomains() []FailureDomain { return s.inventory.FailureDomains }

// Key returns the key with the given id, or nil.
func (s *Snapshot) Key(id string) *Key { return s.keys[id] }

// Limit returns the rate limit of the workspace on the service, and whether there
// is one.
func (s *Snapshot) Limit(workspace, service string) (Limit, bool) {
	l, ok := s.limits[limitKey{workspace, service}]
	return l, ok
}

// Authenticate returns the key that callerKey, in the form "ID.SECRET", matches,
// or nil. The hashes are compared in constant time.
func (s *Snapshot) Authenticate(callerKey string) *Key {
	id, _, ok := strings.Cut(callerKey, ".")
	if !ok {
		return nil
	}
	k := s.keys[id]
	if k == nil {
		return nil
	}
	if subtle.ConstantTimeCompare([]byte(HashKey(callerKey)), []byte(strings.ToLower(k.Hash))) != 1 {
		return nil
	}
	return k
}

// HashKey returns the hash under which the inventory stores a caller's key:
// SHA-256 in lower-case hex.
func HashKey(callerKey string) string {
	sum := sha256.Sum256([]byte(callerKey))
	return hex.EncodeToString(sum[:])
}

// Allowed reports whether the rules permit the workspace to use the service at
// the given time. Rules are additive; access is denied if no rule matches.
func (s *Snapshot) Allowed(workspace, service string, at time.Time) bool {
	for _, a := range s.allow {
		if a.rule.Workspace != "*" && a.rule.Workspace != workspace {
			continue
		}
		if a.rule.Service != "*" && a.rule.Service != service {
			continue
		}
		if a.window.contains(at.In(a.location)) {
			return true
		}
	}
	return false
}

// OpenRoute returns the workspace that is billed for requests without a key to
// the path of the service, and whether such requests are admitted.
func (s *Snapshot) OpenRoute(service, path string) (string, bool) {
	for _, o := range s.rules.OpenRoutes {
		if o.Service == service && hasPathPrefix(path, o.Path) {
			return o.Workspace, true
		}
	}
	return "", false
}

// hasPathPrefix reports whether path equals prefix or lies below it: "/menu"
// matches "/menu/today" and "/menu?x=1" but not "/menus".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/' || rest[0] == '?'
}

// IsNonIdempotent reports whether a request to the service is non-idempotent: it
// is listed as such, or it is a POST or PATCH that is not listed as idempotent.
func (s *Service) IsNonIdempotent(method, path string) bool {
	if matchesRoute(s.NonIdempotent, method, path) {
		return true
	}
	return (method == "POST" || method == "PATCH") && !matchesRoute(s.Idempotent, method, path)
}

func matchesRoute(routes []string, method, path string) bool {
	for _, text := range routes {
		routeMethod, routePath, _ := strings.Cut(text, " ")
		if routeMethod == method && hasPathPrefix(path, routePath) {
			return true
		}
	}
	return false
}

// dailyWindow is a time window within a day, in minutes since midnight. It
// crosses midnight if from > to and is the whole day if from == to.
type dailyWindow struct{ from, to int }

func parseDailyWindow(text string) (dailyWindow, error) {
	if text == "" {
		return dailyWindow{}, nil
	}
	var fromHour, fromMinute, toHour, toMinute int
	n, err := fmt.Sscanf(text, "%d:%d-%d:%d", &fromHour, &fromMinute, &toHour, &toMinute)
	if err != nil || n != 4 {
		return dailyWindow{}, fmt.Errorf("%q does not have the form HH:MM-HH:MM", text)
	}
	if !isTimeOfDay(fromHour, fromMinute) || !isTimeOfDay(toHour, toMinute) {
		return dailyWindow{}, fmt.Errorf("%q contains an invalid time of day", text)
	}
	return dailyWindow{from: fromHour*60 + fromMinute, to: toHour*60 + toMinute}, nil
}

func isTimeOfDay(hour, minute int) bool {
	return hour >= 0 && hour <= 24 && minute >= 0 && minute < 60 && hour*60+minute <= 24*60
}

func (w dailyWindow) contains(at time.Time) bool {
	if w.from == w.to {
		return true
	}
	minute := at.Hour()*60 + at.Minute()
	if w.from < w.to {
		return minute >= w.from && minute < w.to
	}
	return minute >= w.from || minute < w.to
}
