package slope

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/delta"
	"auburnscale/inventory"
	"auburnscale/peer"
)

// targetsPerWorkspace is the ratio at the design size: 620 engines to 7,500
// workspaces.
const targetsPerWorkspace = 620.0 / 7500

// renderInventory returns an inventory as TOML. The weight of one workspace depends
// on the version, so that two versions differ in one entry.
func renderInventory(workspaces, version int) string {
	var b strings.Builder
	b.WriteString("currency = \"AUD\"\n\n")
	for d := range 6 {
		fmt.Fprintf(&b, "[[failure_domains]]\nname = \"d%d\"\nregion = \"r%d\"\n\n", d, d%2)
	}
	for m := range 16 {
		fmt.Fprintf(&b, "[[services]]\nname = \"s%d\"\nkind = \"engine\"\nmodels = [\"m%d\"]\n\n", m, m)
	}
	for t := range int(float64(workspaces) * targetsPerWorkspace) {
		fmt.Fprintf(&b, "[[targets]]\nname = \"t%d\"\nservice = \"s%d\"\nfailure_domain = \"d%d\"\naddress = \"10.1.%d.%d:8000\"\nhonours_fencing = true\nslots = 64\n\n", t, t%16, t%6, t/250, t%250)
	}
	for w := range workspaces {
		weight := 1.0
		if w == workspaces/2 {
			weight += float64(version)
		}
		fmt.Fprintf(&b, "[[workspaces]]\nname = \"w%d\"\nweight = %.1f\n\n", w, weight)
		fmt.Fprintf(&b, "[[keys]]\nid = \"k%d\"\nworkspace = \"w%d\"\nhash = \"%064x\"\n\n", w, w, w)
	}
	return b.String()
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func measureMemory(workspaces int) MemoryPoint {
	const bytesPerKB, bytesPerMB, microsecondsPerMs = 1 << 10, 1 << 20, 1000.0
	text := []byte(renderInventory(workspaces, 0))
	next := []byte(renderInventory(workspaces, 1))
	before := heapBytes()
	began := time.Now()
	snapshot, _ := inventory.Parse(1, text, nil)
	took := time.Since(began)
	heap := float64(heapBytes()-before) / bytesPerMB
	runtime.KeepAlive(snapshot)
	d := delta.Make(&peer.ApplyConfiguration{Version: 1, Inventory: text}, &peer.ApplyConfiguration{Version: 2, Inventory: next, Digest: delta.Digest(next, nil)})
	return MemoryPoint{
		Workspaces: workspaces, Targets: int(float64(workspaces) * targetsPerWorkspace), TextKB: float64(len(text)) / bytesPerKB,
		ParseMs: float64(took.Microseconds()) / microsecondsPerMs, HeapMB: heap, DeltaBytes: float64(proto.Size(d)),
	}
}
