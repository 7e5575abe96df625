package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"auburnscale/platform/standin"
)

// versions sends the operator's configurations and counts their versions.
type versions struct {
	env   *env
	mutex sync.Mutex
	last  uint64
	acked uint64
}

// next returns a version that was not used before.
func (v *versions) next() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.last += 1 + v.last%3
	return v.last
}

// newest returns the highest acknowledged version.
func (v *versions) newest() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.acked
}

func versionRoute(version uint64) string { return fmt.Sprintf("/v%d/", version) }

func (v *versions) configuration(version uint64) standin.Configuration {
	const attempts, timeoutMs = 2, 2400
	return standin.Configuration{
		Version: version, Host: hostName,
		Routes: []standin.Route{
			{Name: "orders", Prefix: "/orders/", Service: plainService, Kind: "unsafe", Attempts: 1, TimeoutMs: timeoutMs},
			{Name: "late", Prefix: lateRoute, Service: plainService, Kind: "unsafe", Attempts: 1, TimeoutMs: int(configuredBounds.Grace.Milliseconds())},
			{Name: "reads", Prefix: "/reads/", Service: plainService, Kind: "safe", Attempts: attempts, TimeoutMs: timeoutMs},
			{Name: "streams", Prefix: "/streams/", Service: engineService, Kind: "stream", Attempts: 1, TimeoutMs: timeoutMs},
			{Name: "tales", Prefix: "/tales/", Service: engineService, Kind: "stream", Resumable: true, Attempts: attempts, TimeoutMs: timeoutMs},
			{Name: "version", Prefix: versionRoute(version), Service: plainService, Kind: "safe", Attempts: attempts, TimeoutMs: timeoutMs},
		},
		Services: []standin.Service{{Name: plainService}, {Name: engineService, Engines: true}},
		Keys:     map[string][]string{workspaceName: {workspaceKey}},
	}
}

// change sends a new version to the control instances, beginning with the one that
// at selects, until one acknowledges it. It returns whether one did.
func (v *versions) change(ctx context.Context, at int) bool {
	version := v.next()
	return v.send(ctx, at, version, v.configuration(version), false)
}

// sendInvalid sends a configuration that must be rejected.
func (v *versions) sendInvalid(ctx context.Context, at int) {
	version := v.next()
	configuration := v.configuration(version)
	if at%2 == 0 {
		configuration.Routes[0].Service = "nowhere"
	} else {
		configuration.Routes[1].Prefix = configuration.Routes[0].Prefix
	}
	v.send(ctx, at, version, configuration, true)
}

func (v *versions) send(ctx context.Context, at int, version uint64, configuration standin.Configuration, invalid bool) bool {
	body, err := configuration.Encode()
	if err != nil {
		v.env.addFinding("test harness", "encode version %d: %v", version, err)
		return false
	}
	v.env.history.send(version, invalid)
	client := v.env.client(operatorHost)
	for ; ctx.Err() == nil; at++ {
		control := v.env.controls[at%len(v.env.controls)]
		status, err := standin.ReplaceConfiguration(ctx, client, v.env.at(control.host, operatorPort).String(), body)
		switch {
		case err != nil || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
			v.env.sleep(ctx, retryDelay)
		case status == http.StatusOK:
			v.acknowledged(version, invalid)
			return true
		case !invalid:
			v.env.addFinding("valid changes are accepted", "%s answered version %d with status %d", control.name, version, status)
			return false
		default:
			return false
		}
	}
	return false
}

func (v *versions) acknowledged(version uint64, invalid bool) {
	if invalid {
		v.env.addFinding("invalid changes are rejected", "version %d was acknowledged", version)
		return
	}
	v.env.history.ack(version)
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.acked = max(v.acked, version)
}
