package inventory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"auburnscale/finding"
)

// A Snapshot represents one checked configuration. It is immutable and safe for
// concurrent use.
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
	rule  Allow
	hours hours
	zone  *time.Location
}

// Parse checks the two files and returns their snapshot. The snapshot is nil if
// there are findings.
func Parse(version uint64, inventoryTOML, rulesTOML []byte) (*Snapshot, *finding.List) {
	inv, rules, list := decode(inventoryTOML, rulesTOML)
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
		span, _ := parseHours(a.Hours)
		zone, _ := time.LoadLocation(a.TimeZone)
		s.allow = append(s.allow, allowRule{rule: a, hours: span, zone: zone})
	}
	for _, l := range s.rules.Limits {
		s.limits[limitKey{l.Workspace, l.Service}] = l
	}
}

// Version returns the configuration's number.
func (s *Snapshot) Version() uint64 { return s.version }

// Currency returns the unit that costs are counted in millionths of.
func (s *Snapshot) Currency() string { return s.inventory.Currency }

// Service returns the service with the name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// ServiceOfModel returns the engine service that serves the model, or nil.
func (s *Snapshot) ServiceOfModel(model string) *Service { return s.models[model] }

// Services returns all services in file order. The caller must not change them.
func (s *Snapshot) Services() []Service { return s.inventory.Services }

// Target returns the target with the name, or nil.
func (s *Snapshot) Target(name string) *Target { return s.targets[name] }

// Targets returns the targets of the service in file order. The caller must not
// change them.
func (s *Snapshot) Targets(service string) []*Target { return s.byService[service] }

// AllTargets returns every target in file order.
func (s *Snapshot) AllTargets() []Target { return s.inventory.Targets }

// Workspace returns the workspace with the name, or nil.
func (s *Snapshot) Workspace(name string) *Workspace { return s.workspaces[name] }

// Workspaces returns all workspaces in file order.
func (s *Snapshot) Workspaces() []Workspace { return s.inventory.Workspaces }

// FailureDomains returns all failure domains in file order.
func (s *Snapshot) FailureDomains() []FailureDomain { return s.inventory.FailureDomains }

// Key returns the key with the id, or nil.
func (s *Snapshot) Key(id string) *Key { return s.keys[id] }

// Limit returns the workspace's limit on the service, if it has one.
func (s *Snapshot) Limit(workspace, service string) (Limit, bool) {
	l, ok := s.limits[limitKey{workspace, service}]
	return l, ok
}

// Authenticate returns the key that the caller's "ID.SECRET" matches, or nil.
// The hashes are compared in constant time.
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

// HashKey returns the hash that the inventory stores for a caller's key.
func HashKey(callerKey string) string {
	sum := sha256.Sum256([]byte(callerKey))
	return hex.EncodeToString(sum[:])
}

// Allowed reports whether the rules let the workspace use the service at the
// time. Rules are additive; without a matching rule the answer is no.
func (s *Snapshot) Allowed(workspace, service string, at time.Time) bool {
	for _, a := range s.allow {
		if a.rule.Workspace != "*" && a.rule.Workspace != workspace {
			continue
		}
		if a.rule.Service != "*" && a.rule.Service != service {
			continue
		}
		if a.hours.contain(at.In(a.zone)) {
			return true
		}
	}
	return false
}

// OpenRoute returns the workspace that an open route bills, and whether the
// path of the service is open.
func (s *Snapshot) OpenRoute(service, path string) (string, bool) {
	for _, o := range s.rules.OpenRoutes {
		if o.Service == service && underPath(path, o.Path) {
			return o.Workspace, true
		}
	}
	return "", false
}

// underPath reports whether path is prefix itself or lies below it, so that
// "/menu" opens "/menu/today" but not "/menus".
func underPath(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/' || rest[0] == '?'
}

// RunsOnce reports whether a call of the service is non-idempotent: it is listed
// so, or it is a POST or PATCH that is not listed as idempotent.
func (s *Service) IsNonIdempotent(method, path string) bool {
	if listed(s.NonIdempotent, method, path) {
		return true
	}
	return (method == "POST" || method == "PATCH") && !listed(s.Idempotent, method, path)
}

func listed(routes []string, method, path string) bool {
	for _, text := range routes {
		routeMethod, routePath, _ := strings.Cut(text, " ")
		if routeMethod == method && underPath(path, routePath) {
			return true
		}
	}
	return false
}

// hours is a span of minutes of the day; from == to is the whole day.
type hours struct{ from, to int }

func parseHours(text string) (hours, error) {
	if text == "" {
		return hours{}, nil
	}
	var fromHour, fromMinute, toHour, toMinute int
	n, err := fmt.Sscanf(text, "%d:%d-%d:%d", &fromHour, &fromMinute, &toHour, &toMinute)
	if err != nil || n != 4 {
		return hours{}, fmt.Errorf("%q is not HH:MM-HH:MM", text)
	}
	if !isClock(fromHour, fromMinute) || !isClock(toHour, toMinute) {
		return hours{}, fmt.Errorf("%q holds no time of day", text)
	}
	return hours{from: fromHour*60 + fromMinute, to: toHour*60 + toMinute}, nil
}

func isClock(hour, minute int) bool {
	return hour >= 0 && hour <= 24 && minute >= 0 && minute < 60 && hour*60+minute <= 24*60
}

func (h hours) contain(at time.Time) bool {
	if h.from == h.to {
		return true
	}
	minute := at.Hour()*60 + at.Minute()
	if h.from < h.to {
		return minute >= h.from && minute < h.to
	}
	return minute >= h.from || minute < h.to
}
