// Package load sends requests to entry instances at given times, whether earlier
// ones are answered or not, and measures what came back.
//
// It owns the plan of a load (phases, workspaces, lengths), the check that every
// answer is whole and its own, and the result. It must not import the product:
// it is a caller like any other.
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

	"auburnscale/finding"
	"auburnscale/settings"
	"auburnscale/standin"
)

// A Plan represents what is sent when.
type Plan struct {
	Addresses []string          `toml:"addresses"`
	Duration  settings.Duration `toml:"duration"`
	Seed      uint64            `toml:"seed"`
	// FirstToken and BetweenTokens are what a good answer keeps to; Total
	// bounds a plain call.
	FirstToken    settings.Duration `toml:"first_token"`
	BetweenTokens settings.Duration `toml:"between_tokens"`
	Timeout       settings.Duration `toml:"timeout"`
	Workspaces    []Workspace       `toml:"workspaces"`
	Phases        []Phase           `toml:"phases"`
}

// A Workspace represents one sender and its share of the arrivals.
type Workspace struct {
	Name  string  `toml:"name"`
	Key   string  `toml:"key"`
	Share float64 `toml:"share"`
}

// A Phase represents a span with its own mix.
type Phase struct {
	Start settings.Duration `toml:"start"`
	// Rate is in requests a second.
	Rate  float64 `toml:"rate"`
	Model string  `toml:"model"`
	// Prompt and Output are mean lengths in tokens; lengths are drawn from an
	// exponential around them, cut at a quarter and at four times.
	Prompt float64 `toml:"prompt_tokens"`
	Output float64 `toml:"output_tokens"`
	// Prefixes shared prompts of PrefixTokens start the prompts; a hot share
	// of the requests uses the first.
	Prefixes     int     `toml:"prefixes"`
	PrefixTokens int     `toml:"prefix_tokens"`
	HotShare     float64 `toml:"hot_share"`
	// Service, if given, is a plain service that gets POST /orders with an
	// idempotency key instead of completions.
	Service string `toml:"service"`
	// Whole asks for answers in one piece instead of streams.
	Whole bool `toml:"whole"`
}

// ParsePlan reads a plan and returns the findings about it.
func ParsePlan(file string, data []byte) (Plan, *finding.List) {
	p := Plan{
		Seed: 1, FirstToken: settings.Duration(1300 * time.Millisecond),
		BetweenTokens: settings.Duration(54 * time.Millisecond), Timeout: settings.Duration(30 * time.Second),
	}
	list := &finding.List{}
	if finding.DecodeTOML(file, data, &p, list) {
		p.check(file, list)
	}
	return p, list
}

func (p *Plan) check(file string, list *finding.List) {
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
			list.Add(file, finding.Index("workspaces", i)+".share", "must be more than 0, is %g", w.Share)
		}
	}
	if len(p.Phases) == 0 {
		list.Add(file, "phases", "is missing")
	}
	for i, ph := range p.Phases {
		if ph.Rate <= 0 {
			list.Add(file, finding.Index("phases", i)+".rate", "must be more than 0, is %g", ph.Rate)
		}
	}
}

// An arrival is one request of the plan.
type arrival struct {
	at        time.Duration
	workspace int
	address   string
	prompt    string
	output    int
	phase     *Phase
	number    int
}

// schedule draws all arrivals of the plan from its seed.
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

// drawPrompt starts with a shared prefix and goes on with text of its own.
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

// expected returns the answer that the stand-in engine gives.
func (a *arrival) expected() string {
	return standin.Output(standin.ChatPrompt(a.prompt), a.output)
}
