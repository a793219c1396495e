package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AttemptState is the state of an attempt.
type AttemptState string

// The states of an attempt. An attempt that waits for a slot is reported as
// running.
const (
	AttemptRunning   AttemptState = "running"
	AttemptFinished  AttemptState = "finished"
	AttemptCancelled AttemptState = "cancelled"
)

// AttemptRecord is the status of an attempt that the engine returns to clients.
type AttemptRecord struct {
	AttemptID string       `json:"attempt"`
	State     AttemptState `json:"state"`
	// Position is the number of events generated so far.
	Position         int `json:"position"`
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// RunRecord is the engine's internal record of an attempt, which checks compare
// with what a caller received.
type RunRecord struct {
	// RequestID is the Idempotency-Key header of the request, or empty.
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt"`
	// PromptHash is the 64-bit xxHash of the prompt in hexadecimal.
	PromptHash       string       `json:"prompt_hash"`
	State            AttemptState `json:"state"`
	PromptTokens     int          `json:"prompt_tokens"`
	CachedTokens     int          `json:"cached_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	// StartedAt is when the attempt got a slot, or zero if it never got one.
	StartedAt time.Time `json:"started_at"`
	EndedAt   time.Time `json:"ended_at"`
}

// attempt is one execution of a completion request. The engine's mutex guards the
// fields from state on, and arrivalIndex and blockHashes.
type attempt struct {
	id                    string
	requestID             string
	model                 string
	priority              int
	arrivalIndex          uint64
	prompt                string
	promptHash            uint64
	blockHashes           []uint64
	promptTokens          int
	answerTokens          int
	unlimitedAnswerTokens int

	// state no longer changes once the attempt has ended.
	state            AttemptState
	running          bool
	remainingPrefill time.Duration
	cachedTokens     int
	completionTokens int
	events           [][]byte
	// changed is closed and replaced whenever events, state or eventsDropped
	// change.
	changed   chan struct{}
	startedAt time.Time
	endedAt   time.Time
	// eventsDropped is set when the events were discarded to free memory.
	eventsDropped bool
}

// newAttempt returns a waiting attempt.
func newAttempt(attemptID, requestID string, priority int, request CompletionRequest) *attempt {
	prompt := PromptOf(request.Messages)
	return &attempt{
		prompt:                prompt,
		id:                    attemptID,
		requestID:             requestID,
		model:                 request.Model,
		priority:              priority,
		promptHash:            xxhash.Sum64String(prompt),
		blockHashes:           blockHashes(prompt),
		promptTokens:          CountTokens(request.Messages),
		answerTokens:          AnswerLength(prompt, request.maxTokens()),
		unlimitedAnswerTokens: AnswerLength(prompt, 0),
		state:                 AttemptRunning,
		changed:               make(chan struct{}),
	}
}

// startsBefore orders waiting attempts by priority, highest first, then by
// arrival.
func (attempt *attempt) startsBefore(other *attempt) bool {
	if attempt.priority != other.priority {
		return attempt.priority > other.priority
	}
	return attempt.arrivalIndex < other.arrivalIndex
}

func (attempt *attempt) hasEnded() bool { return attempt.state != AttemptRunning }

// usage returns the number of tokens used so far.
func (attempt *attempt) usage() Usage {
	return Usage{
		PromptTokens:        attempt.usedPromptTokens(),
		CompletionTokens:    attempt.completionTokens,
		TotalTokens:         attempt.usedPromptTokens() + attempt.completionTokens,
		PromptTokensDetails: PromptTokensDetails{CachedTokens: attempt.cachedTokens},
	}
}

// emitToken appends the event of the next token, and the final chunk after the
// last token.
func (attempt *attempt) emitToken(now time.Time) {
	token := answerToken(attempt.promptHash, attempt.completionTokens)
	attempt.completionTokens++
	attempt.events = append(attempt.events, tokenChunk(attempt, token))
	if attempt.completionTokens >= attempt.answerTokens {
		attempt.finish(AttemptFinished, attempt.finishReason(), now)
	}
	attempt.notifyReaders()
}

func (attempt *attempt) finishReason() string {
	switch {
	case attempt.state == AttemptCancelled:
		return finishCancelled
	case attempt.answerTokens < attempt.unlimitedAnswerTokens:
		return finishLength
	default:
		return finishStop
	}
}

// finish ends the attempt and appends its final chunk.
func (attempt *attempt) finish(state AttemptState, reason string, now time.Time) {
	attempt.state = state
	attempt.endedAt = now
	attempt.running = false
	attempt.events = append(attempt.events, finalChunk(attempt, reason))
}

func (attempt *attempt) notifyReaders() {
	close(attempt.changed)
	attempt.changed = make(chan struct{})
}

// text returns the answer text generated so far.
func (attempt *attempt) text() string {
	var text strings.Builder
	for index := range attempt.completionTokens {
		text.WriteString(answerToken(attempt.promptHash, index))
	}
	return text.String()
}

// dropEvents discards the events, after which the attempt can't be resumed.
func (attempt *attempt) dropEvents() {
	attempt.eventsDropped = true
	attempt.events = nil
	attempt.blockHashes = nil
	attempt.notifyReaders()
}

// runRecord returns the internal record of the attempt.
func (attempt *attempt) runRecord() RunRecord {
	return RunRecord{
		RequestID:        attempt.requestID,
		AttemptID:        attempt.id,
		PromptHash:       strconv.FormatUint(attempt.promptHash, 16),
		State:            attempt.state,
		PromptTokens:     attempt.usedPromptTokens(),
		CachedTokens:     attempt.cachedTokens,
		CompletionTokens: attempt.completionTokens,
		StartedAt:        attempt.startedAt,
		EndedAt:          attempt.endedAt,
	}
}

func (attempt *attempt) record() AttemptRecord {
	return AttemptRecord{
		AttemptID:        attempt.id,
		State:            attempt.state,
		Position:         attempt.position(),
		PromptTokens:     attempt.usedPromptTokens(),
		CompletionTokens: attempt.completionTokens,
	}
}

// position returns the number of events generated: one per token, plus the final
// chunk once the attempt has ended.
func (attempt *attempt) position() int {
	if attempt.hasEnded() {
		return attempt.completionTokens + 1
	}
	return attempt.completionTokens
}

// usedPromptTokens returns the number of prompt tokens, or zero if the attempt
// never got a slot.
func (attempt *attempt) usedPromptTokens() int {
	if attempt.startedAt.IsZero() {
		return 0
	}
	return attempt.promptTokens
}
