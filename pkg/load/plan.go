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
	// KindStream is a streamed completion; it is idempotent.
	KindStream Kind = "stream"
	// KindUnstreamed is a completion returned in one response; it is idempotent.
	KindUnstreamed Kind = "whole"
	// KindBooking is an order on a plain service; it must run at most once.
	KindBooking Kind = "booking"
	// KindLookup is a stock lookup on a plain service; it is idempotent.
	KindLookup Kind = "lookup"
)

// kindTraits describes a kind of request.
type kindTraits struct {
	isCompletion bool
	isStream     bool
	idempotent   bool
}

var kindTable = map[Kind]kindTraits{
	KindStream:     {isCompletion: true, isStream: true, idempotent: true},
	KindUnstreamed: {isCompletion: true, idempotent: true},
	KindBooking:    {},
	KindLookup:     {idempotent: true},
}

// Mix maps each kind of request to its relative share of the arrivals.
type Mix map[Kind]float64

// Mixes holds the available mixes by name.
var Mixes = map[string]Mix{
	"mixed":    {KindStream: 7, KindUnstreamed: 1, KindBooking: 1, KindLookup: 1},
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
	// ArrivalOffset is the arrival time, counted from the start of the run.
	ArrivalOffset time.Duration
	// Messages and MaxTokens are set for completions.
	Messages  []standin.Message
	MaxTokens int
	// Item is the item of a booking or lookup.
	Item string
}

// expectedText returns the complete text that answers a completion request.
func (request Request) expectedText() string {
	return standin.Answer(standin.PromptOf(request.Messages), request.MaxTokens)
}

// idempotent reports whether the request may run more than once.
func (request Request) idempotent() bool { return kindTable[request.Kind].idempotent }

const (
	minMaxTokens = 8
	stockItems   = 100
)

// planner draws requests from a seeded generator.
type planner struct {
	config        Config
	random        *rand.Rand
	zipf          *rand.Zipf
	arrivalOffset time.Duration
}

// Plan returns the requests of a run in order of arrival. Equal configurations
// give equal requests.
func Plan(config Config) []Request {
	config = config.withDefaults()
	random := rand.New(rand.NewPCG(config.Seed, uint64(config.Requests)))
	planner := &planner{
		config: config,
		random: random,
		zipf:   rand.NewZipf(random, config.ZipfExponent, 1, uint64(config.PrefixesPerTeam-1)),
	}
	requests := make([]Request, 0, config.Requests)
	for index := range config.Requests {
		requests = append(requests, planner.next(index))
	}
	return requests
}

// next draws the next request. Interarrival times are exponential, so arrivals
// form a Poisson process.
func (planner *planner) next(index int) Request {
	seconds := planner.random.ExpFloat64() / planner.config.Rate
	planner.arrivalOffset += time.Duration(seconds * float64(time.Second))
	request := Request{
		Index:         index,
		ArrivalOffset: planner.arrivalOffset,
		Kind:          planner.kind(),
		Team:          planner.team(),
		Item:          fmt.Sprintf("ring-%d", planner.random.IntN(stockItems)),
	}
	if kindTable[request.Kind].isCompletion {
		request.Messages = planner.messages(request)
		request.MaxTokens = minMaxTokens + planner.random.IntN(max(planner.config.MaxTokens-minMaxTokens, 0)+1)
	}
	return request
}

func (planner *planner) kind() Kind {
	mix := Mixes[planner.config.Mix]
	return pickWeighted(planner.random, slices.Sorted(maps.Keys(mix)), func(kind Kind) float64 { return mix[kind] })
}

func (planner *planner) team() Team {
	return pickWeighted(planner.random, planner.config.Teams, func(team Team) float64 { return team.ArrivalShare })
}

// pickWeighted draws one of the choices with probabilities proportional to their
// weights.
func pickWeighted[Choice any](random *rand.Rand, choices []Choice, weight func(Choice) float64) Choice {
	sum := 0.0
	for _, choice := range choices {
		sum += weight(choice)
	}
	remaining := random.Float64() * sum
	for _, choice := range choices {
		remaining -= weight(choice)
		if remaining < 0 {
			return choice
		}
	}
	return choices[len(choices)-1]
}

// messages returns a system message shared by requests of the team and a user
// message unique to the request.
func (planner *planner) messages(request Request) []standin.Message {
	prefix := fmt.Sprintf("%s dossier %d. ", request.Team.Name, planner.zipf.Uint64())
	question := fmt.Sprintf("request %d of run %d. ", request.Index, planner.config.Seed)
	return []standin.Message{
		{Role: "system", Content: standin.Content(pad(prefix, planner.config.PrefixBytes))},
		{Role: "user", Content: standin.Content(pad(question, planner.config.MinQuestionBytes))},
	}
}

// pad repeats the text up to the size in bytes; longer text is unchanged.
func pad(text string, size int) string {
	if len(text) >= size {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}
