package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"auburnscale/diagnostic"
)

// Read reads the settings file at path over the defaults and validates it. The
// list holds every finding; the settings are usable only if it is empty.
func Read(path string) (Settings, *diagnostic.List) {
	s := Default()
	list := &diagnostic.List{}
	data, err := os.ReadFile(path)
	if err != nil {
		list.Add(path, "", "%v", err)
		return s, list
	}
	if diagnostic.DecodeTOML(path, data, &s, list) {
		s.check(path, list)
	}
	return s, list
}

func (s *Settings) check(path string, list *diagnostic.List) {
	if s.Instance == "" {
		list.Add(path, "instance", "is missing")
	}
	if s.FailureDomain == "" {
		list.Add(path, "failure_domain", "is missing")
	}
	if s.Fleet.Enabled() {
		s.Fleet.check(path, list)
		checkChoice(path, "policy.waiting", s.Policy.Waiting, []string{"auto", "on", "off"}, list)
		checkChoice(path, "policy.shedding", s.Policy.Shedding, []string{"auto", "on", "off"}, list)
		return
	}
	checkAddress(path, "listen.caller", s.Listen.Caller, list)
	checkAddress(path, "listen.peer", s.Listen.Peer, list)
	checkAddress(path, "listen.operator", s.Listen.Operator, list)
	if s.Platform.Address != "" {
		checkAddress(path, "platform.address", s.Platform.Address, list)
	}
	checkKeyFile(path, "peer.key_file", s.Peer.KeyFile, list)
	checkKeyFile(path, "operator.key_file", s.Operator.KeyFile, list)
	s.checkVoters(path, list)
	s.checkTiming(path, list)
	s.checkPolicy(path, list)
	s.checkCertificates(path, list)
}

// checkAddress rejects host names and wildcards: a process is reached at the IP
// address that its settings give, and binds its outgoing connections to it.
func checkAddress(path, key, address string, list *diagnostic.List) {
	if address == "" {
		list.Add(path, key, "is missing")
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		list.Add(path, key, "%q is not an IP address and port", address)
		return
	}
	if parsed.Addr().IsUnspecified() {
		list.Add(path, key, "%q is a wildcard address; give the instance's own IP address", address)
	}
	if parsed.Port() == 0 {
		list.Add(path, key, "%q has no port", address)
	}
}

const minKeyBytes = 16

func checkKeyFile(path, key, file string, list *diagnostic.List) {
	if file == "" {
		list.Add(path, key, "is missing")
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		list.Add(path, key, "%v", err)
		return
	}
	if len(data) < minKeyBytes {
		list.Add(path, key, "%s has %d bytes; at least %d are required", file, len(data), minKeyBytes)
	}
}

func (s *Settings) checkVoters(path string, list *diagnostic.List) {
	var ids []uint64
	for i, v := range s.Voters {
		key := diagnostic.Index("voters", i)
		if v.ID == 0 {
			list.Add(path, key+".id", "must be 1 or more")
		}
		if slices.Contains(ids, v.ID) {
			list.Add(path, key+".id", "%d is defined more than once", v.ID)
		}
		ids = append(ids, v.ID)
		checkAddress(path, key+".address", v.Address, list)
	}
	if len(s.Voters) == 0 {
		list.Add(path, "voters", "is missing; every instance needs the addresses of the control group")
	}
	for i, id := range s.InitialVoters {
		if !slices.Contains(ids, id) {
			list.Add(path, diagnostic.Index("initial_voters", i), "%d is not in voters", id)
		}
	}
	if n := len(s.InitialVoters); n == 0 || n%2 == 0 || n > 7 {
		list.Add(path, "initial_voters", "has %d ids; 1, 3, 5 or 7 are allowed", n)
	}
	s.checkVoterRole(path, ids, list)
}

func (s *Settings) checkVoterRole(path string, ids []uint64, list *diagnostic.List) {
	if s.Voter.ID == 0 {
		if s.Voter.DataFolder != "" {
			list.Add(path, "voter.data_folder", "is set, but voter.id is not")
		}
		return
	}
	if !slices.Contains(ids, s.Voter.ID) {
		list.Add(path, "voter.id", "%d is not in voters", s.Voter.ID)
	}
	if s.Voter.DataFolder == "" {
		list.Add(path, "voter.data_folder", "is missing; a voter needs a data folder")
	}
}

func (s *Settings) checkTiming(path string, list *diagnostic.List) {
	durations := []struct {
		key      string
		duration Duration
	}{
		{"platform.usage_window", s.Platform.UsageWindow}, {"platform.usage_grace", s.Platform.UsageGrace},
		{"caller.read_timeout", s.Caller.ReadTimeout}, {"caller.deadline", s.Caller.Deadline},
		{"caller.first_token", s.Caller.FirstToken}, {"control.sync_interval", s.Control.SyncInterval},
		{"control.freshness", s.Control.Freshness}, {"control.probe_interval", s.Control.ProbeInterval},
		{"control.claim_retain", s.Control.ClaimRetain}, {"control.stop_limit", s.Control.StopLimit},
	}
	for _, each := range durations {
		if each.duration.AsDuration() < time.Millisecond {
			list.Add(path, each.key, "must be at least 1ms, is %v", each.duration.AsDuration())
		}
	}
	if s.Control.Freshness.AsDuration() < 3*s.Control.SyncInterval.AsDuration() {
		list.Add(path, "control.freshness", "must be at least three times control.sync_interval, so that a single lost heartbeat causes no refusals")
	}
	for key, n := range map[string]int{"body_bytes": s.Caller.BodyBytes, "header_bytes": s.Caller.HeaderBytes, "connections": s.Caller.Connections} {
		if n <= 0 {
			list.Add(path, "caller."+key, "must be more than 0, is %d", n)
		}
	}
}

func (s *Settings) checkPolicy(path string, list *diagnostic.List) {
	checkChoice(path, "policy.routing", s.Policy.Routing, []string{"affinity", "least_in_flight", "round_robin"}, list)
	checkChoice(path, "policy.admission", s.Policy.Admission, []string{"fair", "fifo"}, list)
	checkChoice(path, "policy.retries", s.Policy.Retries, []string{"budget", "three_times"}, list)
	checkChoice(path, "policy.cost", s.Policy.Cost, []string{"auto", "on", "off"}, list)
	checkChoice(path, "policy.scaling", s.Policy.Scaling, []string{ScalingAuto, ScalingDemand, ScalingInitial}, list)
	if s.Policy.HotRatio < 1 {
		list.Add(path, "policy.hot", "must be 1 or more, is %g", s.Policy.HotRatio)
	}
	if s.Policy.RetryShare < 0 || s.Policy.RetryShare > 1 {
		list.Add(path, "policy.retry_share", "must be from 0 to 1, is %g", s.Policy.RetryShare)
	}
}

func checkChoice(path, key, value string, choices []string, list *diagnostic.List) {
	if !slices.Contains(choices, value) {
		list.Add(path, key, "%q is not one of %q", value, choices)
	}
}

func (s *Settings) checkCertificates(path string, list *diagnostic.List) {
	pair := func(key, certificate, privateKey string) {
		if (certificate == "") != (privateKey == "") {
			list.Add(path, key, "certificate_file and private_key_file must be set together")
		}
	}
	pair("caller.certificate_file", s.Caller.CertificateFile, s.Caller.PrivateKeyFile)
	pair("peer.certificate_file", s.Peer.CertificateFile, s.Peer.PrivateKeyFile)
	if s.Peer.CertificateFile != "" && s.Peer.AuthorityFile == "" {
		list.Add(path, "peer.authority_file", "is missing; mutual TLS requires it")
	}
}
