// Package load generates an open-loop load: it sends requests to entry instances at
// scheduled times, whether or not earlier ones have completed, and measures the
// responses.
//
// The package defines the load plan (phases, workspaces, lengths), checks that every
// response is complete and belongs to its request, and summarizes the results. It
// must not import auburnscale's serving packages: it is a caller like any other.
//
// # Usage
//
//	result, err := load.Run(ctx, plan, progress)
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"auburnscale/diagnostic"
	"auburnscale/settings"
	"auburnscale/standin"
)

// A Plan represents the requests of a load and their times. The same Seed gives the
// same requests at the same times.
type Plan struct {
	Addresses []string          `toml:"addresses"`
	Duration  settings.Duration `toml:"duration"`
	Seed      uint64            `toml:"seed"`
	// FirstToken and BetweenTokens are the latency objectives of a good
	// response: the time to first token and the mean time between tokens.
	FirstToken    settings.Duration `toml:"first_token"`
	BetweenTokens settings.Duration `toml:"between_tokens"`
	Timeout       settings.Duration `toml:"timeout"`
	Workspaces    []Workspace       `toml:"workspaces"`
	Phases        []Phase           `toml:"phases"`
}

// A Workspace represents one sender. Share is its weight in the random choice of a
// request's sender, relative to the sum over all workspaces.
type Workspace struct {
	Name  string  `toml:"name"`
	Key   string  `toml:"key"`
	Share float64 `toml:"share"`
}

// A Phase represents a part of the load with its own mix of requests. It lasts from
// Start until the next phase starts.
type Phase struct {
	Start settings.Duration `toml:"start"`
	// Rate is the mean arrival rate in requests per second.
	Rate  float64 `toml:"rate"`
	Model string  `toml:"model"`
	// Prompt and Output are mean lengths in tokens. Lengths are drawn from an
	// exponential distribution, clamped to between a quarter of the mean and four
	// times the mean.
	Prompt float64 `toml:"prompt_tokens"`
	Output float64 `toml:"output_tokens"`
	// Prefixes is the number of shared prefixes, each of PrefixTokens tokens.
	// Every prompt starts with one of them: a HotShare of the requests with the
	// first, the others with one chosen at random.
	Prefixes     int     `toml:"prefixes"`
	PrefixTokens int     `toml:"prefix_tokens"`
	HotShare     float64 `toml:"hot_share"`
	// Service, if not empty, is a plain service that receives POST /orders
	// requests with idempotency keys instead of completion requests.
	Service string `toml:"service"`
	// NonStreaming requests complete responses instead of streams.
	NonStreaming bool `toml:"whole"`
}

// ParsePlan decodes a plan from TOML and returns it with the findings of its
// validation.
func ParsePlan(file string, data []byte) (Plan, *diagnostic.List) {
	p := Plan{
		Seed: 1, FirstToken: settings.Duration(1300 * time.Millisecond),
		BetweenTokens: settings.Duration(54 * time.Millisecond), Timeout: settings.Duration(30 * time.Second),
	}
	list := &diagnostic.List{}
	if diagnostic.DecodeTOML(file, data, &p, list) {
		p.check(file, list)
	}
	return p, list
}

func (p *Plan) check(file string, list *diagnostic.List) {
	if len(p.Addresses) == 0 {
		list.Add(file, "addresses", "is missing")
	}
	if p.Duration <= 0 {
		list.Add(file, "duration", "must be more than 0")
	}
	if len(p.Workspaces) == 0 {
		list.Add(file, "workspaces", "is missing")
	}
	for i, w := range p.Workspaces {
		if w.Share <= 0 {
			list.Add(file, diagnostic.Index("workspaces", i)+".share", "must be more than 0, is %g", w.Share)
		}
	}
	if len(p.Phases) == 0 {
		list.Add(file, "phases", "is missing")
	}
	for i, ph := range p.Phases {
		if ph.Rate <= 0 {
			list.Add(file, diagnostic.Index("phases", i)+".rate", "must be more than 0, is %g", ph.Rate)
		}
	}
}

// An arrival is one request of the plan. Its time is relative to the start of the
// run; output is the number of tokens requested.
type arrival struct {
	at        time.Duration
	workspace int
	address   string
	prompt    string
	output    int
	phase     *Phase
	number    int
}

// schedule returns all arrivals of the plan, drawn from its seed as a Poisson
// process.
func (p *Plan) schedule() []arrival {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed^0x9e3779b97f4a7c15))
	var list []arrival
	at := time.Duration(0)
	for {
		phase := p.phaseAt(at)
		at += time.Duration(random.ExpFloat64() / phase.Rate * float64(time.Second))
		if at >= p.Duration.AsDuration() {
			return list
		}
		list = append(list, p.draw(random, at, len(list)))
	}
}

func (p *Plan) phaseAt(at time.Duration) *Phase {
	current := &p.Phases[0]
	for i := range p.Phases {
		if p.Phases[i].Start.AsDuration() <= at {
			current = &p.Phases[i]
		}
	}
	return current
}

func (p *Plan) draw(random *rand.Rand, at time.Duration, number int) arrival {
	phase := p.phaseAt(at)
	a := arrival{at: at, phase: phase, number: number, workspace: p.drawWorkspace(random)}
	a.address = p.Addresses[random.IntN(len(p.Addresses))]
	a.output = drawLength(random, phase.Output)
	a.prompt = p.drawPrompt(random, phase, number)
	return a
}

func (p *Plan) drawWorkspace(random *rand.Rand) int {
	total := 0.0
	for _, w := range p.Workspaces {
		total += w.Share
	}
	at := random.Float64() * total
	for i, w := range p.Workspaces {
		at -= w.Share
		if at < 0 {
			return i
		}
	}
	return len(p.Workspaces) - 1
}

func drawLength(random *rand.Rand, mean float64) int {
	const low, high = 0.25, 4.0
	return max(1, int(math.Round(min(high, max(low, random.ExpFloat64()))*mean)))
}

const bytesPerToken = 4

// drawPrompt returns a prompt that consists of a shared prefix, if the phase has any,
// and a text unique to the request.
func (p *Plan) drawPrompt(random *rand.Rand, phase *Phase, number int) string {
	var b strings.Builder
	if phase.Prefixes > 0 {
		which := random.IntN(phase.Prefixes)
		if random.Float64() < phase.HotShare {
			which = 0
		}
		b.WriteString(filler(fmt.Sprintf("prefix %d of %s ", which, phase.Model), phase.PrefixTokens*bytesPerToken))
	}
	b.WriteString(filler(fmt.Sprintf("request %d of seed %d ", number, p.Seed), drawLength(random, phase.Prompt)*bytesPerToken))
	return b.String()
}

func filler(text string, size int) string {
	repeated := strings.Repeat(text, size/len(text)+1)
	return repeated[:max(size, len(text))]
}

// expected returns the completion that a stand-in engine generates for the request.
func (a *arrival) expected() string {
	return standin.Output(standin.ChatPrompt(a.prompt), a.output)
}
