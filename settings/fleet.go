package settings

import (
	"net/netip"
	"time"

	"auburnscale/diagnostic"
)

// The leader tasks that a platform can require.
const (
	ReportUsageTask  = "report_usage"
	OrderTargetsTask = "order_targets"
)

// The values of policy.scaling.
const (
	ScalingAuto    = "auto"
	ScalingDemand  = "demand"
	ScalingInitial = "initial"
)

func (f *Fleet) check(path string, list *diagnostic.List) {
	if address, err := netip.ParseAddr(f.Address); err != nil || address.IsUnspecified() {
		list.Add(path, "fleet.address", "%q is not a specific IP address", f.Address)
	}
	if f.PeerPort == 0 {
		list.Add(path, "fleet.peer_port", "is missing")
	}
	if len(f.Seeds) == 0 {
		list.Add(path, "fleet.seeds", "is missing; an instance needs the address of at least one control instance")
	}
	for i, seed := range f.Seeds {
		checkAddress(path, diagnostic.Index("fleet.seeds", i), seed, list)
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
		list.Add(path, "fleet.requests", "is missing, and so is fleet.operators; one of them must select the instance's role")
	}
	if f.OperatorAddress != "" && f.DataFolder == "" {
		list.Add(path, "fleet.data_folder", "is missing; a control instance needs a data folder")
	}
	f.checkDurations(path, list)
	f.checkLimits(path, list)
}

func (f *Fleet) checkDurations(path string, list *diagnostic.List) {
	for key, duration := range map[string]Duration{
		"announce": f.HeartbeatInterval, "contact": f.RecoveryTime, "drain": f.DrainTime, "grace": f.StopGrace, "effect": f.ConfigurationDelay,
		"lease": f.LeaseTime, "usage_window": f.UsageWindow, "usage_late": f.UsageDue, "retry_window": f.RetryWindow, "quota_window": f.QuotaWindow, "key_life": f.KeyLife, "stall": f.Stall,
	} {
		if duration.AsDuration() < time.Millisecond {
			list.Add(path, "fleet."+key, "must be at least 1ms, is %v", duration.AsDuration())
		}
	}
}

func (f *Fleet) checkLimits(path string, list *diagnostic.List) {
	for key, n := range map[string]int{"memory_mb": f.Memory, "descriptors": f.Descriptors} {
		if n <= 0 {
			list.Add(path, "fleet."+key, "must be more than 0, is %d", n)
		}
	}
	if f.ToleratedLosses < 0 {
		list.Add(path, "fleet.losses", "must be 0 or more, is %d", f.ToleratedLosses)
	}
	if f.RetryRatio < 0 || f.RetrySlack < 0 {
		list.Add(path, "fleet.retry_ratio", "fleet.retry_ratio and fleet.retry_slack must not be negative")
	}
	if !(f.QuotaOverage >= 0 && f.QuotaSlack >= 0) {
		list.Add(path, "fleet.quota_overage", "fleet.quota_overage and fleet.quota_slack must not be negative")
	}
	for i, task := range f.LeaderTasks {
		checkChoice(path, diagnostic.Index("fleet.duties", i), task, []string{ReportUsageTask, OrderTargetsTask}, list)
	}
}
