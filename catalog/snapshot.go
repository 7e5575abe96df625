package catalog

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"auburnscale/diagnostic"
)

// A Snapshot represents a validated configuration with its lookup tables. It is
// immutable.
type Snapshot struct {
	configuration Configuration
	routes        map[string]map[string]*Route
	services      map[string]*Service
	keys          map[[sha256.Size]byte]*Workspace
	workspaces    map[string]*Workspace
}

// New validates the configuration and returns its snapshot with all findings. The
// snapshot may be used only if there are none.
func New(c Configuration) (*Snapshot, *diagnostic.List) {
	s := &Snapshot{
		configuration: c, routes: map[string]map[string]*Route{}, services: map[string]*Service{},
		keys: map[[sha256.Size]byte]*Workspace{}, workspaces: map[string]*Workspace{},
	}
	list := &diagnostic.List{}
	for i := range c.Services {
		s.addService(&c.Services[i], diagnostic.Index("services", i), list)
	}
	for i := range c.Routes {
		s.addRoute(&c.Routes[i], diagnostic.Index("routes", i), list)
	}
	for i := range c.Workspaces {
		s.addWorkspace(&c.Workspaces[i], diagnostic.Index("workspaces", i), list)
	}
	return s, list
}

func source(version uint64) string { return fmt.Sprintf("configuration %d", version) }

func (s *Snapshot) addService(v *Service, key string, list *diagnostic.List) {
	if v.Name == "" {
		list.Add(source(s.Version()), key+".name", "is missing")
	}
	if s.services[v.Name] != nil {
		list.Add(source(s.Version()), key+".name", "%q is given twice", v.Name)
	}
	s.services[v.Name] = v
}

func (s *Snapshot) addRoute(r *Route, key string, list *diagnostic.List) {
	add := func(field, detail string, args ...any) { list.Add(source(s.Version()), key+"."+field, detail, args...) }
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if r.RequestKind == 0 {
		add("repetition", "is missing or unknown")
	}
	if r.Timeout <= 0 {
		add("timeout", "must be more than 0")
	}
	// Sums of weights are floats, which do not overflow.
	totalWeight := 0.0
	for _, share := range r.Shares {
		if s.services[share.Service] == nil {
			add("shares", "service %q is not known", share.Service)
		}
		if share.Weight < 0 {
			add("shares", "the weight of %q is below 0", share.Service)
		}
		totalWeight += float64(share.Weight)
	}
	if totalWeight <= 0 {
		add("shares", "the weights add up to %g", totalWeight)
	}
	host := strings.ToLower(r.Host)
	byPrefix := s.routes[host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		s.routes[host] = byPrefix
	}
	if other := byPrefix[r.Prefix]; other != nil {
		add("prefix", "host %q and prefix %q are also those of route %q", r.Host, r.Prefix, other.Name)
	}
	byPrefix[r.Prefix] = r
}

func (s *Snapshot) addWorkspace(w *Workspace, key string, list *diagnostic.List) {
	if w.Name == "" {
		list.Add(source(s.Version()), key+".name", "is missing")
	}
	if s.workspaces[w.Name] == nil {
		s.workspaces[w.Name] = w
	}
	for i, secret := range w.Keys {
		hash := sha256.Sum256([]byte(secret))
		if other := s.keys[hash]; other != nil && other != w {
			list.Add(source(s.Version()), diagnostic.Index(key+".keys", i), "workspace %q has the same key", other.Name)
		}
		s.keys[hash] = w
	}
}

// Version returns the configuration's version.
func (s *Snapshot) Version() uint64 { return s.configuration.Version }

// Routes returns all routes. The caller must not change them.
func (s *Snapshot) Routes() []Route { return s.configuration.Routes }

// Services returns all services. The caller must not change them.
func (s *Snapshot) Services() []Service { return s.configuration.Services }

// Workspaces returns all workspaces. The caller must not change them.
func (s *Snapshot) Workspaces() []Workspace { return s.configuration.Workspaces }

// Workspace returns the first workspace with the name, or nil.
func (s *Snapshot) Workspace(name string) *Workspace { return s.workspaces[name] }

// Service returns the service with the name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Limits returns the limits on callers.
func (s *Snapshot) Limits() Limits { return s.configuration.Limits }

// RequiresKeys reports whether requests need a key at all, which they do if there
// are workspaces.
func (s *Snapshot) RequiresKeys() bool { return len(s.configuration.Workspaces) > 0 }

// Match returns the route of the host with the longest prefix of the path, or nil.
// The host may include a port.
func (s *Snapshot) Match(host, path string) *Route {
	byPrefix := s.routes[strings.ToLower(host)]
	if byPrefix == nil {
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil
		}
		byPrefix = s.routes[strings.ToLower(name)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Authenticate returns the workspace that holds the key. Keys are looked up by their
// hash, so that the lookup time reveals nothing about them.
func (s *Snapshot) Authenticate(key string) (*Workspace, bool) {
	w, ok := s.keys[sha256.Sum256([]byte(key))]
	return w, ok && key != ""
}

// Services returns the services that get a share of the route's requests.
func (r *Route) Services() (names []string) {
	for _, share := range r.Shares {
		if share.Weight > 0 {
			names = append(names, share.Service)
		}
	}
	return names
}

// ChooseService returns the service for a request, drawn by the weights of the
// route's shares. draw is in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += float64(share.Weight)
	}
	remaining := draw * total
	for _, share := range r.Shares {
		remaining -= float64(share.Weight)
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
