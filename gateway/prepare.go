package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnscale/catalog"
	"auburnscale/route"
)

// prepare decides whether the request may run at all, and reads it.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request) (*call, *failure) {
	c := &call{server: s, writer: w, http: r, arrived: time.Now(), ask: s.parts.Codec.Ask(r.Header)}
	c.configuration = s.awaitConfiguration(r.Context(), c.ask.Wait)
	if c.configuration == nil {
		return c, refuse(http.StatusServiceUnavailable, "no_configuration", "this instance has no configuration yet").after(max(leastStartWait, startTime-time.Since(s.started)))
	}
	c.route = c.configuration.Match(r.Host, r.URL.EscapedPath())
	if c.route == nil {
		return c, refuse(http.StatusNotFound, "no_route", "no route has this host and path")
	}
	if f := c.identify(); f != nil {
		return c, f
	}
	c.service = c.configuration.Service(c.route.ChooseService(rand.Float64()))
	if f := c.read(); f != nil {
		return c, f
	}
	c.limit = c.arrived.Add(c.route.Timeout)
	if wait := c.ask.Wait; wait > 0 && wait < c.route.Timeout {
		c.limit = c.arrived.Add(wait)
	}
	return c, nil
}

// awaitConfiguration returns the configuration in force. On an instance that has
// just started, a caller with enough time waits for it: it will be there soon,
// and a refusal would cost the caller a retry.
func (s *Server) awaitConfiguration(ctx context.Context, wait time.Duration) *catalog.Snapshot {
	until := time.Now().Add(min(longestStartWait, wait/startWaitShare))
	if end := s.started.Add(startTime + longestStartWait); until.After(end) {
		until = end
	}
	for {
		if c := s.parts.Sources.Configuration(); c != nil || !time.Now().Before(until) {
			return c
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(startPoll):
		}
	}
}

func (c *call) identify() *failure {
	if !c.configuration.RequiresKeys() {
		return nil
	}
	workspace, ok := c.configuration.Authenticate(c.ask.Key)
	if ok && !c.route.Unauthenticated && !c.server.parts.Sources.KeysFresh() {
		return refuse(http.StatusServiceUnavailable, "cut_off", "no control leader answers, and the key may have been withdrawn").after(maxComeBack)
	}
	if ok {
		c.workspace = workspace
		return nil
	}
	if c.route.Unauthenticated {
		return nil
	}
	return refuse(http.StatusUnauthorized, "unknown_key", "no workspace holds this key")
}

func (c *call) read() *failure {
	limit := c.configuration.Limits().MaxBodyBytes
	if c.http.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, "too_large", "the body is over the limit")
	}
	body, err := io.ReadAll(io.LimitReader(c.http.Body, limit+1))
	if err != nil {
		c.writer.Header().Set("Connection", "close")
		return refuse(http.StatusBadRequest, "bad_request", "the body could not be read in full")
	}
	if int64(len(body)) > limit {
		c.writer.Header().Set("Connection", "close")
		return refuse(http.StatusRequestEntityTooLarge, "too_large", "the body is over the limit")
	}
	c.body = body
	c.prompt = promptOf(c.ask)
	c.fingerprint = c.fingerprintOf()
	return nil
}

// fingerprintOf names the request as its caller would send it again.
func (c *call) fingerprintOf() uint64 {
	h := xxhash.New()
	// A hash takes any number of bytes without an error.
	_, _ = h.WriteString(c.http.Method + " " + c.http.Host + c.http.URL.RequestURI() + "\n" + c.ask.Key + "\n")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// promptOf chains the parts that other requests may share. The last part is the
// request's own or its session's.
func promptOf(a Ask) route.Prompt {
	p := route.Prompt{TotalTokens: a.PromptTokens}
	if a.Model == "" {
		return p
	}
	chain := xxhash.Sum64String(a.Model)
	tokens := int64(0)
	for _, part := range a.Parts[:max(0, len(a.Parts)-1)] {
		chain = (chain ^ part.ID) * hashPrime
		tokens += part.Tokens
		p.Blocks = append(p.Blocks, chain)
		p.BlockEnds = append(p.BlockEnds, tokens)
	}
	return p
}

// hashPrime is the 64-bit prime of FNV-1a.
const hashPrime = 1099511628211
