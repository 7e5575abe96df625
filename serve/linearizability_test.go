package serve

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// claimInput is a proposal to open or close the claim of a key.
type claimInput struct {
	key   string
	owner string
	close bool
}

// claimOutput is the result of a proposal. unknown is true if there was no result.
type claimOutput struct {
	unknown bool
	code    peer.Result_Code
	outcome string
}

// claimState is the claim of one key.
type claimState struct {
	owner   string
	outcome string
}

// claimModel is the guarantee given to callers: a key has one owner and one outcome,
// and neither changes. A close that is repeated with the same outcome is confirmed again.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(claimInput).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(claimState), input.(claimInput), output.(claimOutput)
		next, want := stepClaim(s, in)
		return out.unknown || out == want, next
	},
}

func stepClaim(s claimState, in claimInput) (claimState, claimOutput) {
	switch {
	case in.close && s.owner == "":
		return s, claimOutput{code: peer.Result_NOT_FOUND}
	case in.close && s.owner != in.owner:
		return s, claimOutput{code: peer.Result_REFUSED}
	case in.close && (s.outcome == "" || s.outcome == in.owner):
		return claimState{owner: s.owner, outcome: in.owner}, claimOutput{}
	case s.outcome != "":
		return s, claimOutput{code: peer.Result_REPLAY, outcome: s.outcome}
	case s.owner == "" || s.owner == in.owner:
		return claimState{owner: in.owner}, claimOutput{}
	}
	return s, claimOutput{code: peer.Result_UNKNOWN_OUTCOME}
}

func (in claimInput) command() *peer.Command {
	if in.close {
		return &peer.Command{Body: &peer.Command_CloseClaim{CloseClaim: &peer.CloseClaim{
			Workspace: "guild", Key: in.key, Owner: in.owner, Outcome: &peer.Outcome{Status: 200, Body: []byte(in.owner)},
		}}}
	}
	return &peer.Command{Body: &peer.Command_OpenClaim{OpenClaim: &peer.OpenClaim{Workspace: "guild", Key: in.key, Digest: []byte("d"), Owner: in.owner}}}
}

// TestClaimsAreLinearizable proposes claims through every instance while the leader
// is isolated and reconnected, and checks that the history is linearizable.
func TestClaimsAreLinearizable(t *testing.T) {
	s := newTestCluster(t, nil, nil)
	s.start()
	const clients, steps, keys = 8, 40, 12
	var mutex sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	began := time.Now()
	for client := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			random := rand.New(rand.NewPCG(1, uint64(client)))
			proposer := s.processes[[]string{"a1", "a2", "b1", "b2"}[client%4]].proposer
			for range steps {
				in := claimInput{key: fmt.Sprint("k", random.IntN(keys)), owner: fmt.Sprint("c", client), close: random.IntN(3) == 0}
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				call := time.Since(began)
				result, err := proposer.Propose(ctx, in.command())
				if err == nil && random.IntN(4) == 0 {
					// As if the response had been lost and the proposal repeated.
					result, err = proposer.Propose(ctx, in.command())
				}
				cancel()
				o := porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Return: int64(time.Since(began))}
				if err != nil {
					// The command may take effect at any later time.
					o.Output, o.Return = claimOutput{unknown: true}, int64(time.Hour)
				} else {
					o.Output = claimOutput{code: result.Code, outcome: string(result.Outcome.GetBody())}
				}
				mutex.Lock()
				history = append(history, o)
				mutex.Unlock()
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
		}()
	}
	old := s.leader()
	time.Sleep(200 * time.Millisecond)
	s.setIsolated(true, old)
	s.await("another leader", func() bool { now := s.leader(); return now != "" && now != old })
	s.setIsolated(false, old)
	group.Wait()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel, history, time.Minute))
}
