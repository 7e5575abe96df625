package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnscale/account"
	"auburnscale/catalog"
	"auburnscale/route"
)

// prepare finds the request's route, workspace and service and reads its body. It
// always returns a call, with a failure if the request must not run.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, recorder *headerRecorder) (*call, *failure) {
	c := &call{server: s, writer: w, http: r, recorder: recorder, connection: recorder.limited(), arrived: time.Now(), info: s.deps.Codec.DecodeRequest(r.Header)}
	c.configuration = s.awaitConfiguration(r.Context(), c.info.Timeout)
	if c.configuration == nil {
		return c, refuse(http.StatusServiceUnavailable, "no_configuration", "this instance has not received a configuration yet").withRetryAfter(max(minStartRetryAfter, typicalStartTime-time.Since(s.started)))
	}
	c.route = c.configuration.Match(r.Host, r.URL.EscapedPath())
	if c.route == nil {
		return c, refuse(http.StatusNotFound, "no_route", "no route matches the request's host and path")
	}
	if f := c.authenticate(); f != nil {
		return c, f
	}
	c.service = c.configuration.Service(c.route.ChooseService(rand.Float64()))
	c.deadline = c.arrived.Add(c.route.Timeout)
	if wait := c.info.Timeout; wait > 0 && wait < c.route.Timeout {
		c.deadline = c.arrived.Add(wait)
	}
	if !time.Now().Before(c.deadline) {
		return c, refuse(http.StatusServiceUnavailable, "timeout", "the time for the request was over before it could be sent to a target").withRetryAfter(c.retryAfter())
	}
	if f := c.readBody(); f != nil {
		return c, f
	}
	return c, nil
}

// awaitConfiguration returns the current configuration, or nil. On an instance that
// has just started it waits for the first configuration, for a part of the caller's
// timeout: the configuration will arrive soon, and a refusal would cost the caller
// a retry. The end of a planned stop ends the wait.
func (s *Server) awaitConfiguration(ctx context.Context, timeout time.Duration) *catalog.Snapshot {
	until := time.Now().Add(min(maxConfigurationWait, timeout/configurationWaitDivisor))
	if end := s.started.Add(typicalStartTime + maxConfigurationWait); until.After(end) {
		until = end
	}
	for {
		if c := s.deps.State.Configuration(); c != nil || !time.Now().Before(until) {
			return c
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.stopped.Done():
			return nil
		case <-time.After(configurationPollInterval):
		}
	}
}

// authenticate sets the workspace of the request's key. Without a valid key a
// request is refused unless its route is open or no workspace has keys.
func (c *call) authenticate() *failure {
	if !c.configuration.RequiresKeys() {
		return nil
	}
	workspace, ok := c.configuration.Authenticate(c.info.APIKey)
	if ok && !c.route.Unauthenticated && !c.server.deps.State.KeysFresh() {
		return refuse(http.StatusServiceUnavailable, "cut_off", "no control leader can be reached, and the key may have been withdrawn").withRetryAfter(maxRetryAfter)
	}
	if ok {
		c.workspace = workspace
		return nil
	}
	if c.route.Unauthenticated {
		return nil
	}
	return refuse(http.StatusUnauthorized, "unknown_key", "no workspace has this key")
}

// readBody reads the request's body, at the longest until the deadline, and derives its
// prompt and fingerprint.
func (c *call) readBody() *failure {
	limit := c.configuration.Limits().MaxBodyBytes
	if c.http.ContentLength > limit {
		c.connection.StopReading()
		c.writer.Header().Set("Connection", "close")
		return refuse(http.StatusRequestEntityTooLarge, "too_large", "the request body exceeds the size limit")
	}
	if err := c.recorder.limitBody(c.deadline); err != nil {
		return refuse(http.StatusServiceUnavailable, "no_deadline", "the time for reading the request cannot be limited")
	}
	limiter := &readLimiter{recorder: c.recorder}
	unwatch := context.AfterFunc(c.server.stopped, limiter.interrupt)
	c.hold = c.server.deps.Account.Open(account.Body, limiter.interrupt)
	c.connection.Await(c.hold)
	body, err := account.Read(c.http.Body, c.http.ContentLength, limit, c.hold)
	if err == nil {
		err = c.hold.Pin()
	}
	unwatch()
	if err != nil {
		limiter.interrupt()
		c.connection.StopReading()
	} else {
		limiter.finish()
	}
	switch {
	case errors.Is(err, account.ErrFull):
		c.writer.Header().Set("Connection", "close")
		return refuse(http.StatusServiceUnavailable, "memory_full", "the memory for requests is in use").withRetryAfter(c.retryAfter())
	case errors.Is(err, account.ErrEvicted):
		c.writer.Header().Set("Connection", "close")
		return refuse(http.StatusRequestTimeout, "body_stalled", "the request body stopped arriving")
	case errors.Is(err, account.ErrTooLong):
		c.writer.Header().Set("Connection", "close")
		return refuse(http.StatusRequestEntityTooLarge, "too_large", "the request body exceeds the size limit")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.writer.Header().Set("Connection", "close")
		return refuse(http.StatusRequestTimeout, "body_timeout", "the request body did not arrive in time")
	}
	if err != nil {
		c.writer.Header().Set("Connection", "close")
		return refuse(http.StatusBadRequest, "bad_request", "the request body could not be read in full")
	}
	c.body = body
	c.prompt = newPrompt(c.info)
	c.fingerprint = c.computeFingerprint()
	c.suspects = c.suspectIDs()
	return nil
}

// A readLimiter ends the reading of a body, unless that is finished. Failures are ignored: the connection is closed
// then, which ends the request anyway.
type readLimiter struct {
	recorder *headerRecorder
	mutex    sync.Mutex
	finished bool
}

// interrupt makes the read that is in progress fail.
func (l *readLimiter) interrupt() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.finished {
		_ = l.recorder.limitBody(time.Now())
	}
}

// finish removes the deadline, which would otherwise end the response too.
func (l *readLimiter) finish() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.finished = true
	l.recorder.unlimitBody()
}

// computeFingerprint returns a hash that is the same when the caller sends the same
// request again.
func (c *call) computeFingerprint() uint64 {
	h := xxhash.New()
	// Writing to a hash never fails.
	_, _ = h.WriteString(c.http.Method + " " + c.http.Host + c.http.URL.RequestURI() + "\n" + c.info.APIKey + "\n")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// suspectIDs returns the ids of the shared blocks of the prompt, in order, and the
// fingerprint. Any of the blocks may be the one that crashes targets.
func (c *call) suspectIDs() []uint64 {
	shared := sharedBlocks(c.info)
	ids := make([]uint64, 0, len(shared)+1)
	for _, block := range shared {
		ids = append(ids, block.ID)
	}
	return append(ids, c.fingerprint)
}

// sharedBlocks returns the blocks of the prompt that other requests may share: all but
// the last, which belongs to the request alone or to its session.
func sharedBlocks(info RequestInfo) []PromptBlock { return info.Blocks[:max(0, len(info.Blocks)-1)] }

// newPrompt returns the prompt with the chained hashes of the blocks that other
// requests may share.
func newPrompt(info RequestInfo) route.Prompt {
	p := route.Prompt{TotalTokens: info.PromptTokens}
	if info.Model == "" {
		return p
	}
	chain := xxhash.Sum64String(info.Model)
	tokens := int64(0)
	shared := sharedBlocks(info)
	p.Blocks, p.BlockEnds = make([]uint64, 0, len(shared)), make([]int64, 0, len(shared))
	for _, block := range shared {
		chain = (chain ^ block.ID) * fnvPrime
		tokens += block.Tokens
		p.Blocks = append(p.Blocks, chain)
		p.BlockEnds = append(p.BlockEnds, tokens)
	}
	return p
}

// fnvPrime is the 64-bit FNV prime.
const fnvPrime = 1099511628211
