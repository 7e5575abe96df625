package inventory

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"
	"time"

	"auburnscale/diagnostic"
)

// Names that findings use for the two configuration files.
const (
	InventoryFile = "inventory"
	RulesFile     = "rules"
)

const (
	defaultWeight      = 1.0
	defaultSlots       = 8
	defaultBlockTokens = 1000
	keyHashBytes       = 32
)

type checker struct {
	inventory  *Inventory
	rules      *Rules
	domains    map[string]bool
	services   map[string]*Service
	workspaces map[string]bool
	list       *diagnostic.List
}

// decodeAndCheck decodes both files, sets the defaults and checks the result. The
// checks are skipped if a file cannot be decoded.
func decodeAndCheck(inventoryTOML, rulesTOML []byte) (*Inventory, *Rules, *diagnostic.List) {
	list := &diagnostic.List{}
	inv, rules := &Inventory{}, &Rules{}
	decoded := diagnostic.DecodeTOML(InventoryFile, inventoryTOML, inv, list)
	decoded = diagnostic.DecodeTOML(RulesFile, rulesTOML, rules, list) && decoded
	if !decoded {
		return inv, rules, list
	}
	setDefaults(inv)
	c := &checker{inventory: inv, rules: rules, list: list}
	c.check()
	return inv, rules, list
}

func setDefaults(inv *Inventory) {
	for i := range inv.Workspaces {
		if inv.Workspaces[i].Weight == 0 {
			inv.Workspaces[i].Weight = defaultWeight
		}
	}
	for i := range inv.Targets {
		t := &inv.Targets[i]
		if t.Slots == 0 {
			t.Slots = defaultSlots
		}
		if t.Class == "" {
			t.Class = Regular
		}
		if t.Role == "" {
			t.Role = "mixed"
		}
	}
	for i := range inv.Services {
		if inv.Services[i].BlockTokens == 0 {
			inv.Services[i].BlockTokens = defaultBlockTokens
		}
	}
}

func (c *checker) check() {
	c.checkDomains()
	c.checkServices()
	c.checkWorkspaces()
	c.checkTargets()
	c.checkKeys()
	c.checkRules()
}

func (c *checker) add(file, key, detail string, args ...any) { c.list.Add(file, key, detail, args...) }

// checkName checks that a name is not empty, is unique within seen and contains no
// white space, slash, quote or asterisk.
func (c *checker) checkName(key, name string, seen map[string]bool) {
	if name == "" {
		c.add(InventoryFile, key, "is missing")
		return
	}
	if strings.ContainsAny(name, " /\t\n\"*") {
		c.add(InventoryFile, key, "%q contains white space, a slash, a quote or an asterisk", name)
	}
	if seen[name] {
		c.add(InventoryFile, key, "%q is defined more than once", name)
	}
	seen[name] = true
}

func (c *checker) checkDomains() {
	c.domains = map[string]bool{}
	for i, d := range c.inventory.FailureDomains {
		c.checkName(diagnostic.Index("failure_domains", i)+".name", d.Name, c.domains)
	}
}

func (c *checker) checkServices() {
	c.services = map[string]*Service{}
	seen := map[string]bool{}
	models := map[string]string{}
	for i := range c.inventory.Services {
		s := &c.inventory.Services[i]
		key := diagnostic.Index("services", i)
		c.checkName(key+".name", s.Name, seen)
		c.services[s.Name] = s
		c.checkServiceKind(key, s)
		for j, m := range s.Models {
			if other, ok := models[m]; ok {
				c.add(InventoryFile, diagnostic.Index(key+".models", j), "%q is already a model of %q", m, other)
			}
			models[m] = s.Name
		}
	}
}

func (c *checker) checkServiceKind(key string, s *Service) {
	switch s.Kind {
	case EngineService:
		if len(s.Models) == 0 {
			c.add(InventoryFile, key+".models", "is missing for an engine service")
		}
	case PlainService:
		if len(s.Models) > 0 {
			c.add(InventoryFile, key+".models", "belongs to engine services only")
		}
	default:
		c.add(InventoryFile, key+".kind", "%q is neither \"engine\" nor \"plain\"", s.Kind)
	}
	c.checkRoutes(key+".non_idempotent", s.NonIdempotent)
	c.checkRoutes(key+".idempotent", s.Idempotent)
}

func (c *checker) checkRoutes(key string, routes []string) {
	for i, route := range routes {
		method, path, ok := strings.Cut(route, " ")
		if !ok || method == "" || !strings.HasPrefix(path, "/") {
			c.add(InventoryFile, diagnostic.Index(key, i), "%q is not \"METHOD /path\"", route)
		}
	}
}

func (c *checker) checkWorkspaces() {
	c.workspaces = map[string]bool{}
	for i, w := range c.inventory.Workspaces {
		key := diagnostic.Index("workspaces", i)
		c.checkName(key+".name", w.Name, c.workspaces)
		if w.Weight < 0 {
			c.add(InventoryFile, key+".weight", "must be more than 0, is %g", w.Weight)
		}
		for j, d := range w.Home {
			if !c.domains[d] {
				c.add(InventoryFile, diagnostic.Index(key+".home", j), "unknown failure domain %q", d)
			}
		}
	}
}

func (c *checker) checkTargets() {
	seen := map[string]bool{}
	for i, t := range c.inventory.Targets {
		key := diagnostic.Index("targets", i)
		c.checkName(key+".name", t.Name, seen)
		if c.services[t.Service] == nil {
			c.add(InventoryFile, key+".service", "unknown service %q", t.Service)
		}
		if !c.domains[t.FailureDomain] {
			c.add(InventoryFile, key+".failure_domain", "unknown failure domain %q", t.FailureDomain)
		}
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			c.add(InventoryFile, key+".address", "%q is not an IP address and port", t.Address)
		}
		if t.Class != Regular && t.Class != Reclaimable {
			c.add(InventoryFile, key+".class", "%q is neither \"ordered\" nor \"cheap\"", t.Class)
		}
		if !slices.Contains([]string{"mixed", "prefill", "decode"}, t.Role) {
			c.add(InventoryFile, key+".role", "%q is none of \"mixed\", \"prefill\", \"decode\"", t.Role)
		}
		if t.Slots < 0 || t.TokenCost < 0 || t.HourCost < 0 {
			c.add(InventoryFile, key, "slots, token_cost and hour_cost must not be negative")
		}
	}
}

func (c *checker) checkKeys() {
	seen := map[string]bool{}
	for i, k := range c.inventory.Keys {
		key := diagnostic.Index("keys", i)
		c.checkName(key+".id", k.ID, seen)
		if strings.Contains(k.ID, ".") {
			c.add(InventoryFile, key+".id", "%q contains a dot, which separates the id from the secret", k.ID)
		}
		if !c.workspaces[k.Workspace] {
			c.add(InventoryFile, key+".workspace", "unknown workspace %q", k.Workspace)
		}
		if raw, err := hex.DecodeString(k.Hash); err != nil || len(raw) != keyHashBytes {
			c.add(InventoryFile, key+".hash", "is not a hex-encoded SHA-256 hash")
		}
	}
}

func (c *checker) checkRules() {
	for i, a := range c.rules.Allow {
		key := diagnostic.Index("allow", i)
		c.checkReference(key+".workspace", a.Workspace, a.Workspace == "*" || c.workspaces[a.Workspace])
		c.checkReference(key+".service", a.Service, a.Service == "*" || c.services[a.Service] != nil)
		if _, err := parseDailyWindow(a.Hours); err != nil {
			c.add(RulesFile, key+".hours", "%v", err)
		}
		if _, err := time.LoadLocation(a.TimeZone); err != nil {
			c.add(RulesFile, key+".time_zone", "%v", err)
		}
	}
	for i, l := range c.rules.Limits {
		key := diagnostic.Index("limits", i)
		c.checkReference(key+".workspace", l.Workspace, c.workspaces[l.Workspace])
		c.checkReference(key+".service", l.Service, c.services[l.Service] != nil)
		if l.TokensPerSecond <= 0 {
			c.add(RulesFile, key+".tokens_per_second", "must be more than 0, is %g", l.TokensPerSecond)
		}
	}
	for i, o := range c.rules.OpenRoutes {
		key := diagnostic.Index("open_routes", i)
		c.checkReference(key+".service", o.Service, c.services[o.Service] != nil)
		c.checkReference(key+".workspace", o.Workspace, c.workspaces[o.Workspace])
		if !strings.HasPrefix(o.Path, "/") {
			c.add(RulesFile, key+".path", "%q does not start with a slash", o.Path)
		}
	}
}

func (c *checker) checkReference(key, name string, ok bool) {
	if !ok {
		c.add(RulesFile, key, "unknown name %q", name)
	}
}
