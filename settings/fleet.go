package settings

import (
	"net/netip"
	"time"

	"auburnscale/finding"
)

// The duties that a platform can expect.
const (
	UsageDuty    = "report_usage"
	PurchaseDuty = "order_targets"
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
		"requests": f.Requests, "readiness": f.Readiness, "operators": f.Operators, "metrics": f.Metrics, "platform": f.Platform,
		"peer_listen": f.PeerListen,
	} {
		if address != "" {
			checkAddress(path, "fleet."+key, address, list)
		}
	}
	if f.Requests == "" && f.Operators == "" {
		list.Add(path, "fleet.requests", "is missing, and so is fleet.operators; one of them says the instance's role")
	}
	if f.Operators != "" && f.DataFolder == "" {
		list.Add(path, "fleet.data_folder", "is missing; a control instance needs a disk")
	}
	f.checkSpans(path, list)
	f.checkNumbers(path, list)
}

func (f *Fleet) checkSpans(path string, list *finding.List) {
	for key, span := range map[string]Duration{
		"announce": f.Announce, "contact": f.Contact, "drain": f.Drain, "grace": f.Grace, "effect": f.Effect,
		"lease": f.Lease, "usage_window": f.UsageWindow, "usage_late": f.UsageLate, "retry_window": f.RetryWindow, "key_life": f.KeyLife,
	} {
		if span.Span() < time.Millisecond {
			list.Add(path, "fleet."+key, "must be at least 1ms, is %v", span.Span())
		}
	}
}

func (f *Fleet) checkNumbers(path string, list *finding.List) {
	for key, n := range map[string]int{"memory_mb": f.Memory, "descriptors": f.Descriptors} {
		if n <= 0 {
			list.Add(path, "fleet."+key, "must be more than 0, is %d", n)
		}
	}
	if f.Losses < 0 {
		list.Add(path, "fleet.losses", "must be 0 or more, is %d", f.Losses)
	}
	if f.RetryRatio < 0 || f.RetrySlack < 0 {
		list.Add(path, "fleet.retry_ratio", "neither it nor fleet.retry_slack can be below 0")
	}
	for i, duty := range f.Duties {
		checkChoice(path, finding.Index("fleet.duties", i), duty, []string{UsageDuty, PurchaseDuty}, list)
	}
}
