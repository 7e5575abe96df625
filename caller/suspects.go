package caller

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"auburnscale/quarantine"
)

// maxSuspectMessages bounds the messages of a request by which crashes of targets are
// explained. Hashing them takes less than the decoding of the body did.
const maxSuspectMessages = 16384

// suspectIDs returns the ids by which crashes of targets are explained: those of the parts of
// the prompt that other requests may share, in order, and the digest of the request. The parts
// are all messages but the last, or the prefix blocks of a prompt without messages.
func suspectIDs(body *completionBody, prefixBlocks []uint64, digest uint64) []uint64 {
	var ids []uint64
	if body.Prompt != nil {
		ids = append(ids, prefixBlocks...)
		return append(ids, digest)
	}
	for _, m := range body.Messages[:min(max(0, len(body.Messages)-1), maxSuspectMessages)] {
		h := xxhash.New()
		// Writing to a hash never fails.
		_, _ = h.WriteString(m.Role + "\n")
		_, _ = h.Write(m.Content)
		ids = append(ids, h.Sum64())
	}
	return append(ids, digest)
}

// quarantineFailure returns the failure of a request that was not sent to a target because of a
// quarantined message, or nil.
func quarantineFailure(a quarantine.Admission) *Failure {
	if !a.Refused {
		return nil
	}
	const message = "targets crash when they run requests with the same message, so it is temporarily blocked"
	return reject(fasthttp.StatusServiceUnavailable, CodeQuarantined, message).withRetryAfter(max(time.Second, a.Wait)).withoutRetry()
}

// checkSuspects returns the failure if a message was quarantined since the request was admitted.
func (r *run) checkSuspects() *Failure {
	failure := quarantineFailure(r.server.deps.Blocks.Check(r.request.suspects, r.request.admission))
	if failure == nil || r.position == 0 && r.attempts == 0 {
		return failure
	}
	return failed(fasthttp.StatusBadGateway, CodeQuarantined, "a target failed, and targets crash when they run requests with the same message").withoutRetry()
}
