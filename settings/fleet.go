package settings

import (
	"net/netip"
	"time"

	"auburnscale/finding"
)

// The duties that a platform can expect.
const (
	ReportUsageTask  = "report_usage"
	OrderTargetsTask = "order_targets"
)

func (f *Fleet) check(path string, list *finding.List) {
	if address, err := netip.ParseAddr(f.Address); err != nil || address.IsUnspecified() {
		list.Add(path, "fleet.address", "%q is not the instance's IP number", f.Address)
	}
	if f.PeerPort == 0 {
		list.Add(path, "fleet.peer_port", "is missing")
	}
	if len(f.Seeds) == 0 {
		list.Add(path, "fleet.seeds", "is missing; an instance must know one control instance at least")
	}
	for i, seed := range f.Seeds {
		checkAddress(path, finding.Index("fleet.seeds", i), seed, list)
	}
	for key, address := range map[string]string{
		"requests": f.RequestAddress, "readiness": f.ReadinessAddress, "operators": f.OperatorAddress, "metrics": f.MetricsAddress, "platform": f.PlatformAddress,
		"peer_listen": f.PeerListenAddress,
	} {
		if address != "" {
			checkAddress(path, "fleet."+key, address, list)
		}
	}
	if f.RequestAddress == "" && f.OperatorAddress == "" {
		list.Add(path, "fleet.requests", "is missing, and so is fleet.operators; one of them says the instance's role")
	}
	if f.OperatorAddress != "" && f.DataFolder == "" {
		list.Add(path, "fleet.data_folder", "is missing; a control instance needs a disk")
	}
	f.checkSpans(path, list)
	f.checkNumbers(path, list)
}

func (f *Fleet) checkSpans(path string, list *finding.List) {
	for key, span := range map[string]Duration{
		"announce": f.HeartbeatInterval, "contact": f.RecoveryTime, "drain": f.DrainTime, "grace": f.StopGrace, "effect": f.ConfigurationDelay,
		"lease": f.LeaseTime, "usage_window": f.UsageWindow, "usage_late": f.UsageDue, "retry_window": f.RetryWindow, "key_life": f.KeyLife,
	} {
		if span.AsDuration() < time.Millisecond {
			list.Add(path, "fleet."+key, "must be at least 1ms, is %v", span.AsDuration())
		}
	}
}

func (f *Fleet) checkNumbers(path string, list *finding.List) {
	for key, n := range map[string]int{"memory_mb": f.Memory, "descriptors": f.Descriptors} {
		if n <= 0 {
			list.Add(path, "fleet."+key, "must be more than 0, is %d", n)
		}
	}
	if f.ToleratedLosses < 0 {
		list.Add(path, "fleet.losses", "must be 0 or more, is %d", f.ToleratedLosses)
	}
	if f.RetryRatio < 0 || f.RetrySlack < 0 {
		list.Add(path, "fleet.retry_ratio", "neither it nor fleet.retry_slack can be below 0")
	}
	for i, duty := range f.LeaderTasks {
		checkChoice(path, finding.Index("fleet.duties", i), duty, []string{ReportUsageTask, OrderTargetsTask}, list)
	}
}
