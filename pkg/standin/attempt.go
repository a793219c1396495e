package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AttemptState tells how far an attempt is.
type AttemptState string

// The states of an attempt. A waiting attempt is reported as running.
const (
	AttemptRunning   AttemptState = "running"
	AttemptFinished  AttemptState = "finished"
	AttemptCancelled AttemptState = "cancelled"
)

// AttemptRecord is what the engine tells of an attempt.
type AttemptRecord struct {
	Attempt string       `json:"attempt"`
	State   AttemptState `json:"state"`
	// Position is the number of events made so far.
	Position         int `json:"position"`
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Run is the engine's own record of an attempt, for checks.
type Run struct {
	// RequestID is the Idempotency-Key that came with the attempt, if any.
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	// PromptHash is the xxhash of the prompt in hexadecimal.
	PromptHash       string       `json:"prompt_hash"`
	State            AttemptState `json:"state"`
	PromptTokens     int          `json:"prompt_tokens"`
	CachedTokens     int          `json:"cached_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	// StartedAt is when the attempt got a slot; zero if it never did.
	StartedAt time.Time `json:"started_at"`
	EndedAt   time.Time `json:"ended_at"`
}

// attempt is one run of a completion. The engine's mutex guards its fields
// below the line.
type attempt struct {
	id         string
	requestID  string
	model      string
	priority   int
	sequence   uint64
	promptHash uint64
	blocks     []uint64
	prompt     int
	length     int
	natural    int

	// state, once ended, does not change any more.
	state     AttemptState
	running   bool
	prefill   time.Duration
	cached    int
	completed int
	events    [][]byte
	// changed is closed and replaced whenever events or state change.
	changed   chan struct{}
	startedAt time.Time
	endedAt   time.Time
	// forgotten is set when the events are no longer kept.
	forgotten bool
}

// newAttempt returns a waiting attempt.
func newAttempt(id, requestID string, priority int, request CompletionRequest) *attempt {
	prompt := PromptOf(request.Messages)
	return &attempt{
		id:         id,
		requestID:  requestID,
		model:      request.Model,
		priority:   priority,
		promptHash: xxhash.Sum64String(prompt),
		blocks:     prefixBlocks(prompt),
		prompt:     CountTokens(request.Messages),
		length:     AnswerLength(prompt, request.limit()),
		natural:    AnswerLength(prompt, 0),
		state:      AttemptRunning,
		changed:    make(chan struct{}),
	}
}

// before orders waiting attempts by priority, then by arrival.
func (attempt *attempt) before(other *attempt) bool {
	if attempt.priority != other.priority {
		return attempt.priority > other.priority
	}
	return attempt.sequence < other.sequence
}

func (attempt *attempt) ended() bool { return attempt.state != AttemptRunning }

// usage returns the tokens used so far.
func (attempt *attempt) usage() Usage {
	return Usage{
		PromptTokens:        attempt.usedPrompt(),
		CompletionTokens:    attempt.completed,
		TotalTokens:         attempt.usedPrompt() + attempt.completed,
		PromptTokensDetails: PromptTokensDetails{CachedTokens: attempt.cached},
	}
}

// emit appends the next token, and the last chunk behind the last token.
func (attempt *attempt) emit(now time.Time) {
	token := answerToken(attempt.promptHash, attempt.completed)
	attempt.completed++
	attempt.events = append(attempt.events, tokenChunk(attempt, token))
	if attempt.completed >= attempt.length {
		attempt.end(AttemptFinished, attempt.finishReason(), now)
	}
	attempt.notify()
}

func (attempt *attempt) finishReason() string {
	switch {
	case attempt.state == AttemptCancelled:
		return finishCancelled
	case attempt.length < attempt.natural:
		return finishLength
	default:
		return finishStop
	}
}

// end closes the attempt with its last chunk.
func (attempt *attempt) end(state AttemptState, reason string, now time.Time) {
	attempt.state = state
	attempt.endedAt = now
	attempt.running = false
	attempt.events = append(attempt.events, lastChunk(attempt, reason))
}

func (attempt *attempt) notify() {
	close(attempt.changed)
	attempt.changed = make(chan struct{})
}

// text returns the tokens made so far.
func (attempt *attempt) text() string {
	var text strings.Builder
	for index := range attempt.completed {
		text.WriteString(answerToken(attempt.promptHash, index))
	}
	return text.String()
}

// forget drops the events.
func (attempt *attempt) forget() {
	attempt.forgotten = true
	attempt.events = nil
	attempt.blocks = nil
	attempt.notify()
}

// run returns the engine's own record of the attempt.
func (attempt *attempt) run() Run {
	return Run{
		RequestID:        attempt.requestID,
		Attempt:          attempt.id,
		PromptHash:       strconv.FormatUint(attempt.promptHash, 16),
		State:            attempt.state,
		PromptTokens:     attempt.usedPrompt(),
		CachedTokens:     attempt.cached,
		CompletionTokens: attempt.completed,
		StartedAt:        attempt.startedAt,
		EndedAt:          attempt.endedAt,
	}
}

func (attempt *attempt) record() AttemptRecord {
	return AttemptRecord{
		Attempt:          attempt.id,
		State:            attempt.state,
		Position:         attempt.position(),
		PromptTokens:     attempt.usedPrompt(),
		CompletionTokens: attempt.completed,
	}
}

// position returns the number of events made: one for each token, and the last
// chunk.
func (attempt *attempt) position() int {
	if attempt.ended() {
		return attempt.completed + 1
	}
	return attempt.completed
}

// usedPrompt returns the prompt tokens, which an attempt that never got a slot
// did not use.
func (attempt *attempt) usedPrompt() int {
	if attempt.startedAt.IsZero() {
		return 0
	}
	return attempt.prompt
}
