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

// withdraw commits the withdrawal and waits until no instance can serve the key:
// each has confirmed it, or has let its freshness run out, and every instance in
// a home failure domain of the key's workspace has confirmed it. What it says is
// true at the moment it says it.
func (s *Server) withdraw(ctx context.Context, q WithdrawRequest) (*WithdrawResponse, error) {
	if q.KeyID == "" {
		return nil, errors.New("key_id is missing")
	}
	if q.InstanceOnly {
		return s.withdrawHere(q.KeyID), nil
	}
	s.local.Withdraw(q.KeyID)
	result, err := s.changeOnly(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Withdraw{Withdraw: &peer.WithdrawKey{KeyId: q.KeyID}}})
	if err != nil {
		return nil, fmt.Errorf("key %s is refused by instance %s from now on; elsewhere it may still work: %w", q.KeyID, s.config.Instance, err)
	}
	deadline := time.Now().Add(s.config.ConfirmTimeout)
	for {
		serving, err := s.mayServe(ctx, q.KeyID, result.Revision)
		if err == nil && len(serving) == 0 {
			return &WithdrawResponse{Complete: true, Message: fmt.Sprintf("Key %s is withdrawn: no instance serves it any more.", q.KeyID)}, nil
		}
		if time.Now().After(deadline) {
			return s.incomplete(q.KeyID, serving, err), nil
		}
		time.Sleep(pollInterval)
	}
}

// withdrawHere makes this instance refuse the key without asking the control
// group. It lasts as long as the process.
func (s *Server) withdrawHere(keyID string) *WithdrawResponse {
	s.local.Withdraw(keyID)
	return &WithdrawResponse{Message: fmt.Sprintf(
		"Key %s is refused by instance %s until that process ends. Enter this at each instance of failure domain %s, and withdraw the key for all when the control group is reached.",
		keyID, s.config.Instance, s.config.FailureDomain)}
}

// mayServe returns the instances that may still serve the key.
func (s *Server) mayServe(ctx context.Context, keyID string, revision uint64) ([]string, error) {
	status, err := s.leaderStatus(ctx, revision)
	if err != nil {
		return nil, err
	}
	serving := slices.Clone(status.MayServe)
	home := s.homeOf(keyID)
	for _, m := range status.Members {
		if m.Revision < revision && slices.Contains(home, m.Domain) && !slices.Contains(serving, m.Instance) {
			serving = append(serving, m.Instance)
		}
	}
	slices.Sort(serving)
	return serving, nil
}

func (s *Server) homeOf(keyID string) []string {
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

func (s *Server) incomplete(keyID string, serving []string, err error) *WithdrawResponse {
	if err != nil {
		return &WithdrawResponse{Message: fmt.Sprintf("The withdrawal of key %s is committed, but the control leader does not answer now, so where the key still works is not known. Ask again.", keyID)}
	}
	return &WithdrawResponse{MayServe: serving, Message: fmt.Sprintf(
		"The withdrawal of key %s is committed, but these instances have not confirmed it and may still serve the key: %s. Each refuses it as soon as it hears from the control group; to end it sooner, enter the withdrawal there with --instance-only, or stop the instance and forget it.",
		keyID, strings.Join(serving, ", "))}
}

func bodyReader(request *fasthttp.RequestCtx) io.Reader { return bytes.NewReader(request.PostBody()) }

func compareNames(a, b string) int { return cmp.Compare(a, b) }
