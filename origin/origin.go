// Package origin keeps which software version began a stream of events, so that the stream goes
// on at a target of that version alone.
//
// What targets of two software versions generate does not fit together, and targets do not check
// it. A stream goes on at another target within one response, or when a caller takes it up, perhaps at
// an entry instance that started only then. Each entry instance therefore reports the streams that it
// lets targets begin to a control instance, together with the load that it reports anyway, and control
// instances give each report to a second one. The package owns the records on both sides, the
// history of the software that served each service, and the decision what may continue a stream.
// It must not choose targets or open connections.
//
// # Usage
//
// At an entry instance:
//
//	stream := journal.Open(origin.Hash(workspace, id))
//	stream.Sent(origin.Origin{Service: service, Software: software})
//	defer stream.Close()
//	decision := finder.Find(ctx, origin.Hash(workspace, resumes), services)
//
// At a control instance:
//
//	index.Add(request.Origins)
//	answer := index.Find(question)
package origin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// An Origin identifies what began a stream. The zero Origin stands for one that is not known.
type Origin struct {
	Service string
	// Software identifies what the target runs, see [Software].
	Software string
}

// disputed is the Origin of a stream that several kinds of software may have begun.
var disputed = Origin{}

// Software identifies what one start of a target runs, so that two targets with the same Software
// may generate parts of one stream. Without a version that is known, no other target has the same.
func Software(version, target string, incarnation int64) string {
	if version == "" {
		return "start " + strconv.FormatInt(incarnation, 10) + " of " + target
	}
	return "version " + version
}

// Hash returns the key of the request with the id, which is unique within a workspace. It returns
// 0 for a request without an id, whose stream cannot be found again.
func Hash(workspace, id string) uint64 {
	if id == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(workspace+"\n"+id))
}
