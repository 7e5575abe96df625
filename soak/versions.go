package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"auburnscale/platform/standin"
)

// versions are the operator's configurations.
type versions struct {
	site  *site
	mutex sync.Mutex
	last  uint64
	acked uint64
}

// next returns a version of its own.
func (v *versions) next() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.last += 1 + v.last%3
	return v.last
}

// newest returns the highest version that was acknowledged.
func (v *versions) newest() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.acked
}

func versionRoute(version uint64) string { return fmt.Sprintf("/v%d/", version) }

func (v *versions) document(version uint64) standin.Configuration {
	const attempts, timeoutMs = 2, 2400
	return standin.Configuration{
		Version: version, Host: hostName,
		Routes: []standin.Route{
			{Name: "orders", Prefix: "/orders/", Service: plainService, Kind: "unsafe", Attempts: 1, TimeoutMs: timeoutMs},
			{Name: "reads", Prefix: "/reads/", Service: plainService, Kind: "safe", Attempts: attempts, TimeoutMs: timeoutMs},
			{Name: "streams", Prefix: "/streams/", Service: engineService, Kind: "stream", Attempts: 1, TimeoutMs: timeoutMs},
			{Name: "tales", Prefix: "/tales/", Service: engineService, Kind: "stream", Resumable: true, Attempts: attempts, TimeoutMs: timeoutMs},
			{Name: "version", Prefix: versionRoute(version), Service: plainService, Kind: "safe", Attempts: attempts, TimeoutMs: timeoutMs},
		},
		Services: []standin.Service{{Name: plainService}, {Name: engineService, Engines: true}},
		Keys:     map[string][]string{workspaceName: {workspaceKey}},
	}
}

// change puts a new version in force, beginning at one of the control
// instances. It returns true once it is acknowledged.
func (v *versions) change(ctx context.Context, at int) bool {
	version := v.next()
	return v.send(ctx, at, version, v.document(version), false)
}

// bad sends a configuration that must be refused.
func (v *versions) bad(ctx context.Context, at int) {
	version := v.next()
	document := v.document(version)
	if at%2 == 0 {
		document.Routes[0].Service = "nowhere"
	} else {
		document.Routes[1].Prefix = document.Routes[0].Prefix
	}
	v.send(ctx, at, version, document, true)
}

func (v *versions) send(ctx context.Context, at int, version uint64, document standin.Configuration, invalid bool) bool {
	body, err := document.Encode()
	if err != nil {
		v.site.complain("the soak itself", "encode version %d: %v", version, err)
		return false
	}
	v.site.history.send(version, invalid)
	client := v.site.client(operatorHost)
	for ; ctx.Err() == nil; at++ {
		control := v.site.controls[at%len(v.site.controls)]
		status, err := standin.ReplaceConfiguration(ctx, client, v.site.at(control.host, operatorPort).String(), body)
		switch {
		case err != nil || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
			v.site.sleep(ctx, retryPause)
		case status == http.StatusOK:
			v.acknowledged(version, invalid)
			return true
		case !invalid:
			v.site.complain("a proper change is taken", "%s answered version %d with %d", control.name, version, status)
			return false
		default:
			return false
		}
	}
	return false
}

func (v *versions) acknowledged(version uint64, invalid bool) {
	if invalid {
		v.site.complain("what is invalid is refused", "version %d was acknowledged", version)
		return
	}
	v.site.history.ack(version)
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.acked = max(v.acked, version)
}
