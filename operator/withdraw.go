package operator

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/peer"
)

// withdraw commits the withdrawal and waits until no instance can accept the key: each
// instance has confirmed it or is no longer fresh, and every instance in a home
// failure domain of the key's workspace has confirmed it, because those accept the key
// even when they are not fresh. The response holds for the moment it is sent.
func (s *Server) withdraw(ctx context.Context, q WithdrawRequest) (*WithdrawResponse, error) {
	if q.KeyID == "" {
		return nil, errors.New("key_id is required")
	}
	if q.InstanceOnly {
		return s.withdrawLocally(q.KeyID), nil
	}
	s.local.Withdraw(q.KeyID)
	result, err := s.proposeOnly(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Withdraw{Withdraw: &peer.WithdrawKey{KeyId: q.KeyID}}})
	if err != nil {
		return nil, fmt.Errorf("key %s is rejected by instance %s from now on, but other instances may still accept it: %w", q.KeyID, s.config.Instance, err)
	}
	deadline := time.Now().Add(s.config.ConfirmTimeout)
	for {
		serving, err := s.mayServe(ctx, q.KeyID, result.Revision)
		if err == nil && len(serving) == 0 {
			return &WithdrawResponse{Complete: true, Message: fmt.Sprintf("Key %s is withdrawn: no instance serves it any more.", q.KeyID)}, nil
		}
		if time.Now().After(deadline) {
			return s.incompleteResponse(q.KeyID, serving, err), nil
		}
		time.Sleep(pollInterval)
	}
}

// withdrawLocally makes this instance reject the key without the control group. The
// withdrawal lasts until the process ends.
func (s *Server) withdrawLocally(keyID string) *WithdrawResponse {
	s.local.Withdraw(keyID)
	return &WithdrawResponse{Message: fmt.Sprintf(
		"Key %s is rejected by instance %s until its process ends. Repeat this at each instance of failure domain %s, and withdraw the key for all instances when the control group is reachable.",
		keyID, s.config.Instance, s.config.FailureDomain)}
}

// mayServe returns the names of the instances that may still accept the key, sorted.
func (s *Server) mayServe(ctx context.Context, keyID string, revision uint64) ([]string, error) {
	status, err := s.leaderStatus(ctx, revision)
	if err != nil {
		return nil, err
	}
	serving := slices.Clone(status.MayServe)
	domains := s.homeDomains(keyID)
	for _, m := range status.Members {
		if m.Revision < revision && slices.Contains(domains, m.Domain) && !slices.Contains(serving, m.Instance) {
			serving = append(serving, m.Instance)
		}
	}
	slices.Sort(serving)
	return serving, nil
}

// homeDomains returns the home failure domains of the key's workspace, or nil if the
// key is unknown.
func (s *Server) homeDomains(keyID string) []string {
	snapshot := s.local.View().Snapshot()
	if snapshot == nil {
		return nil
	}
	key := snapshot.Key(keyID)
	if key == nil {
		return nil
	}
	return snapshot.Workspace(key.Workspace).Home
}

// incompleteResponse returns the response to a committed withdrawal that is not yet
// confirmed by every instance. err is set if the leader did not tell which ones.
func (s *Server) incompleteResponse(keyID string, serving []string, err error) *WithdrawResponse {
	if err != nil {
		return &WithdrawResponse{Message: fmt.Sprintf("The withdrawal of key %s is committed, but the control leader does not respond, so the instances that still accept the key are unknown. Send the request again.", keyID)}
	}
	return &WithdrawResponse{MayServe: serving, Message: fmt.Sprintf(
		"The withdrawal of key %s is committed, but these instances have not confirmed it and may still serve the key: %s. Each rejects it as soon as it reaches the control group. To reject it sooner, withdraw the key there with --instance-only, or stop the instance and forget it.",
		keyID, strings.Join(serving, ", "))}
}

func bodyReader(request *fasthttp.RequestCtx) io.Reader { return bytes.NewReader(request.PostBody()) }

func compareNames(a, b string) int { return cmp.Compare(a, b) }
