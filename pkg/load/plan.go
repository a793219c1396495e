package load

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// Kind names a kind of request.
type Kind string

// The kinds of requests.
const (
	// KindStream is a streamed completion that may be run again.
	KindStream Kind = "stream"
	// KindWhole is a completion that is answered at once.
	KindWhole Kind = "whole"
	// KindBooking is an order that must not be run again.
	KindBooking Kind = "booking"
	// KindLookup is a stock lookup.
	KindLookup Kind = "lookup"
)

// kindRow describes a kind of request.
type kindRow struct {
	model      bool
	stream     bool
	idempotent bool
}

var kinds = map[Kind]kindRow{
	KindStream:  {model: true, stream: true, idempotent: true},
	KindWhole:   {model: true, idempotent: true},
	KindBooking: {},
	KindLookup:  {idempotent: true},
}

// Mix gives each kind its part of the arrivals.
type Mix map[Kind]float64

// Mixes is the one table of mixes; a new mix is one row.
var Mixes = map[string]Mix{
	"mixed":    {KindStream: 7, KindWhole: 1, KindBooking: 1, KindLookup: 1},
	"model":    {KindStream: 1},
	"bookings": {KindBooking: 1},
	"desk":     {KindBooking: 1, KindLookup: 3},
}

func mixNames() string {
	return strings.Join(slices.Sorted(maps.Keys(Mixes)), ", ")
}

// Request is one planned request.
type Request struct {
	Index int
	Kind  Kind
	Team  Team
	// At is when the request arrives, from the start of the run.
	At time.Duration
	// Messages and MaxTokens are set for completions.
	Messages  []standin.Message
	MaxTokens int
	// Item is what a booking or lookup is about.
	Item string
}

// expected returns the whole text of the answer to a completion.
func (request Request) expected() string {
	return standin.Answer(standin.PromptOf(request.Messages), request.MaxTokens)
}

// idempotent reports whether the request may be run again.
func (request Request) idempotent() bool { return kinds[request.Kind].idempotent }

const (
	leastMaxTokens = 8
	stockItems     = 100
)

// planner draws requests from a seed.
type planner struct {
	config Config
	random *rand.Rand
	zipf   *rand.Zipf
	at     time.Duration
}

// Plan returns the requests of a run, by arrival. The same configuration gives
// the same requests.
func Plan(config Config) []Request {
	config = config.withDefaults()
	random := rand.New(rand.NewPCG(config.Seed, uint64(config.Requests)))
	planner := &planner{
		config: config,
		random: random,
		zipf:   rand.NewZipf(random, config.Skew, 1, uint64(config.Prefixes-1)),
	}
	requests := make([]Request, 0, config.Requests)
	for index := range config.Requests {
		requests = append(requests, planner.next(index))
	}
	return requests
}

// next draws a request that arrives an exponential time behind the last one.
func (planner *planner) next(index int) Request {
	seconds := planner.random.ExpFloat64() / planner.config.Rate
	planner.at += time.Duration(seconds * float64(time.Second))
	request := Request{
		Index: index,
		At:    planner.at,
		Kind:  planner.kind(),
		Team:  planner.team(),
		Item:  fmt.Sprintf("ring-%d", planner.random.IntN(stockItems)),
	}
	if kinds[request.Kind].model {
		request.Messages = planner.messages(request)
		request.MaxTokens = leastMaxTokens + planner.random.IntN(max(planner.config.MaxTokens-leastMaxTokens, 0)+1)
	}
	return request
}

func (planner *planner) kind() Kind {
	mix := Mixes[planner.config.Mix]
	return pick(planner.random, slices.Sorted(maps.Keys(mix)), func(kind Kind) float64 { return mix[kind] })
}

func (planner *planner) team() Team {
	return pick(planner.random, planner.config.Teams, func(team Team) float64 { return team.Share })
}

// pick draws one of the choices in proportion to their shares.
func pick[Choice any](random *rand.Rand, choices []Choice, share func(Choice) float64) Choice {
	sum := 0.0
	for _, choice := range choices {
		sum += share(choice)
	}
	drawn := random.Float64() * sum
	for _, choice := range choices {
		drawn -= share(choice)
		if drawn < 0 {
			return choice
		}
	}
	return choices[len(choices)-1]
}

// messages returns a prefix that the team shares and a question that no other
// request asks.
func (planner *planner) messages(request Request) []standin.Message {
	prefix := fmt.Sprintf("%s dossier %d. ", request.Team.Name, planner.zipf.Uint64())
	question := fmt.Sprintf("request %d of run %d. ", request.Index, planner.config.Seed)
	return []standin.Message{
		{Role: "system", Content: standin.Content(pad(prefix, planner.config.PrefixBytes))},
		{Role: "user", Content: standin.Content(pad(question, planner.config.QuestionBytes))},
	}
}

// pad repeats the text until it has the size.
func pad(text string, size int) string {
	if len(text) >= size {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}
