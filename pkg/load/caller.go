package load

// A caller sends a request to the first ranked router address and retries it
// under the same Idempotency-Key until it is answered, is refused with a
// non-retryable kind, or would have to wait beyond its deadline. It resumes an
// interrupted stream with the resume token from the response header and the ID of
// the last event that it received.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"github.com/oklog/ulid/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// HTTP headers between callers and routers.
const (
	headerProfile    = "Wisterialb-Profile"
	headerIdempotent = "Wisterialb-Idempotent"
	headerDeadline   = "Wisterialb-Deadline"
	headerResume     = "Wisterialb-Resume"
	headerKey        = "Idempotency-Key"
	headerLastEvent  = "Last-Event-ID"
)

const (
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	dialTimeout       = time.Second
	maxResponseBytes  = 4 << 20
	maxHistoryEntries = 4
)

// nonRetryableKinds are the kinds of errors after which a retry cannot succeed.
var nonRetryableKinds = map[fault.Kind]bool{
	fault.Invalid:          true,
	fault.Unauthenticated:  true,
	fault.Forbidden:        true,
	fault.NotFound:         true,
	fault.TooLarge:         true,
	fault.BudgetExhausted:  true,
	fault.DeadlineExceeded: true,
	fault.ResponseLost:     true,
}

// Result is the result of one request as observed by its caller.
type Result struct {
	Request Request
	// Key is the Idempotency-Key.
	Key string
	// Outcome is the outcome of the last attempt, or OutcomeUnknown if no attempt
	// ended before the deadline.
	Outcome fault.Outcome
	// ErrorKind is the kind of the last error; empty for an answered request.
	ErrorKind    fault.Kind
	ErrorMessage string
	// Text is the content of a completion, or the response body for other kinds.
	Text string
	// StreamDisorder is set when stream events were duplicate or missing.
	StreamDisorder bool
	// Address is the router address of the last attempt.
	Address string
	// EndedAt is when the request was answered or abandoned.
	EndedAt time.Time
	// History describes the errors of the first failed attempts.
	History []string
	// Attempts counts the times the request was sent.
	Attempts int
	// Resumes counts the attempts that resumed a stream.
	Resumes int
	// Stalls counts the attempts that ended by the stall timeout.
	Stalls int
	// UnknownOutcomes counts the attempts that ended with an unknown outcome.
	UnknownOutcomes  int
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	tokenGaps        []time.Duration
}

// caller sends requests to routers and retries them.
type caller struct {
	config  Config
	client  *http.Client
	entries *entryCache
}

func newCaller(config Config) *caller {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         config.Dial,
		MaxIdleConnsPerHost: config.MaxInFlight,
		DisableCompression:  true,
	}}
	return &caller{config: config, client: client, entries: newEntryCache(config, client)}
}

func (caller *caller) close() { caller.client.CloseIdleConnections() }

// callState is the state of one request across its attempts.
type callState struct {
	result    Result
	startedAt time.Time
	deadline  time.Time
	// lastChunkAt is when the last chunk with content arrived.
	lastChunkAt time.Time
	text        bytes.Buffer
	lastEventID int64
	resumeToken string
	// failedAddresses counts unavailable routers; the next attempt skips that
	// many ranked addresses.
	failedAddresses int
}

// call sends the request until it is answered or cannot be retried.
func (caller *caller) call(ctx context.Context, request Request) Result {
	startedAt := time.Now()
	callState := &callState{startedAt: startedAt, deadline: startedAt.Add(caller.config.Deadline)}
	callState.result = Result{Request: request, Key: ulid.Make().String(), Outcome: fault.OutcomeUnknown}
	ctx, cancel := context.WithDeadline(ctx, callState.deadline)
	defer cancel()
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := caller.attempt(ctx, callState)
		if err == nil {
			callState.markAnswered()
			break
		}
		wait := max(fault.RetryAfterOf(err), backoff/2+rand.N(backoff))
		if nonRetryableKinds[fault.KindOf(err)] || !sleepBefore(ctx, callState.deadline, wait) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	callState.result.EndedAt = time.Now()
	callState.result.TotalTime = callState.result.EndedAt.Sub(startedAt)
	return callState.result
}

func (callState *callState) markAnswered() {
	callState.result.Outcome = fault.Answered
	callState.result.ErrorKind = ""
	callState.result.ErrorMessage = ""
	callState.result.Text = callState.text.String()
}

// sleepBefore waits for the duration. It returns false if the context ends first,
// or at once if the wait would pass the deadline.
func sleepBefore(ctx context.Context, deadline time.Time, wait time.Duration) bool {
	if time.Now().Add(wait).After(deadline) {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt sends the request once and records the outcome.
func (caller *caller) attempt(ctx context.Context, callState *callState) error {
	result := &callState.result
	address := caller.address(ctx, callState)
	result.Attempts++
	result.Address = address
	err := caller.roundTrip(ctx, address, callState)
	if err == nil {
		return nil
	}
	result.Outcome = fault.OutcomeOf(err)
	result.ErrorKind = fault.KindOf(err)
	result.ErrorMessage = fault.MessageOf(err)
	if len(result.History) < maxHistoryEntries {
		result.History = append(result.History, fmt.Sprintf("%s %s %s: %s", address, result.Outcome, result.ErrorKind, result.ErrorMessage))
	}
	if result.Outcome == fault.OutcomeUnknown {
		result.UnknownOutcomes++
	}
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Draining) {
		callState.failedAddresses++
		caller.entries.drop(result.Request.Team.Profile)
	}
	return err
}

// address returns the router address for the next attempt.
func (caller *caller) address(ctx context.Context, callState *callState) string {
	request := callState.result.Request
	if caller.config.Direct {
		return caller.config.EntryAddresses[request.Index%len(caller.config.EntryAddresses)]
	}
	addresses := caller.entries.addresses(ctx, request.Team)
	return addresses[callState.failedAddresses%len(addresses)]
}

// roundTrip sends the request to one address and reads the response. It cancels
// the request when no data arrives within the stall timeout.
func (caller *caller) roundTrip(ctx context.Context, address string, callState *callState) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(caller.config.StallTimeout, func() { cancel(errStallTimeout) })
	defer stallTimer.Stop()
	request, err := caller.request(ctx, address, callState)
	if err != nil {
		return err
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return callState.connectionError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	stallTimer.Reset(caller.config.StallTimeout)
	if response.StatusCode != http.StatusOK {
		return callState.refusalError(ctx, response)
	}
	if kindTable[callState.result.Request.Kind].isStream {
		resetStallTimer := func() { stallTimer.Reset(caller.config.StallTimeout) }
		return callState.readStream(ctx, response, resetStallTimer)
	}
	return callState.readBody(ctx, response)
}

var errStallTimeout = errors.New("no data within the stall timeout")

// connectionError returns the error for a failed connection. The request is known
// not to have run only if dialing failed and no earlier attempt had an unknown
// outcome.
func (callState *callState) connectionError(ctx context.Context, err error) error {
	outcome := fault.OutcomeUnknown
	if errors.Is(context.Cause(ctx), errStallTimeout) {
		callState.result.Stalls++
	}
	var operation *net.OpError
	dialFailed := errors.As(err, &operation) && operation.Op == "dial" && callState.result.UnknownOutcomes == 0
	if dialFailed {
		outcome = fault.NotRun
	}
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "connection to the router failed: " + err.Error(),
		Remedy:  "retry with the same Idempotency-Key",
		Outcome: outcome,
		Cause:   err,
	})
}

// refusalError returns the error in a router's response.
func (callState *callState) refusalError(ctx context.Context, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return callState.connectionError(ctx, err)
	}
	return errorFromBody(data, response.Header.Get("Retry-After"))
}

// errorFromBody decodes a router's JSON error. retryAfter is the Retry-After
// header in seconds, used if the body has no delay.
func errorFromBody(data []byte, retryAfter string) error {
	var body fault.Body
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Kind == "" {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "response is not a router error: " + string(data[:min(len(data), 200)]),
			Remedy:  "check the address",
			Outcome: fault.OutcomeUnknown,
		})
	}
	wait := time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	if seconds, err := strconv.Atoi(retryAfter); err == nil && wait == 0 {
		wait = time.Duration(seconds) * time.Second
	}
	return fault.New(fault.Config{
		Kind:       body.Error.Kind,
		Message:    body.Error.Message,
		Remedy:     body.Error.Remedy,
		Outcome:    body.Error.Outcome,
		RetryAfter: wait,
	})
}

// readBody reads a response that is not streamed.
func (callState *callState) readBody(ctx context.Context, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return callState.connectionError(ctx, err)
	}
	callState.text.Reset()
	callState.result.TimeToFirstToken = time.Since(callState.startedAt)
	if kindTable[callState.result.Request.Kind].isCompletion {
		data = contentOf(data)
	}
	callState.text.Write(data)
	return nil
}

// contentOf returns the content of a completion, or the data unchanged if it is
// not one.
func contentOf(data []byte) []byte {
	var completion standin.Completion
	err := json.Unmarshal(data, &completion)
	if err != nil || len(completion.Choices) == 0 || completion.Choices[0].Message == nil {
		return data
	}
	return []byte(completion.Choices[0].Message.Content)
}

// readStream reads a stream up to its end marker and calls resetStallTimer for
// each event.
func (callState *callState) readStream(ctx context.Context, response *http.Response, resetStallTimer func()) error {
	if resume := response.Header.Get(headerResume); resume != "" {
		callState.resumeToken = resume
	}
	reader := newSSEReader(response.Body)
	isFirstEvent := true
	for {
		event, err := reader.next()
		if err != nil {
			return callState.connectionError(ctx, err)
		}
		resetStallTimer()
		if event.name == errorEvent {
			return errorFromBody(event.data, "")
		}
		if string(event.data) == streamEndData {
			return nil
		}
		callState.trackPosition(event, isFirstEvent)
		isFirstEvent = false
		if err := callState.appendChunk(event.data); err != nil {
			return err
		}
	}
}

// trackPosition checks that event IDs are consecutive. The first event of a
// response either continues the stream or restarts it from the beginning.
func (callState *callState) trackPosition(event sseEvent, isFirstEvent bool) {
	startsOver := event.id == 1 || (event.id == 0 && callState.lastEventID == 0)
	if isFirstEvent && startsOver {
		callState.lastEventID = 0
		callState.text.Reset()
	}
	callState.lastEventID++
	if event.id != 0 && event.id != callState.lastEventID {
		callState.result.StreamDisorder = true
		callState.lastEventID = event.id
	}
}

// appendChunk appends the content of a chunk to the text and records its timing.
func (callState *callState) appendChunk(data []byte) error {
	var chunk standin.Completion
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "event is not a completion chunk: " + err.Error(),
			Remedy:  "check the router",
			Outcome: fault.OutcomeUnknown,
			Cause:   err,
		})
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil || chunk.Choices[0].Delta.Content == "" {
		return nil
	}
	now := time.Now()
	if callState.result.TimeToFirstToken == 0 {
		callState.result.TimeToFirstToken = now.Sub(callState.startedAt)
	} else {
		callState.result.tokenGaps = append(callState.result.tokenGaps, now.Sub(callState.lastChunkAt))
	}
	callState.lastChunkAt = now
	callState.text.WriteString(string(chunk.Choices[0].Delta.Content))
	return nil
}
