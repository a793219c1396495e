package load

// The flow of a caller: it sends the request to the first ranked address, and
// retries under the same Idempotency-Key as long as its deadline and the answers
// allow. A stream that broke off is resumed with the token of its head and the
// position that the caller has. A refusal is final when its kind says that a
// retry cannot help, or when the deadline comes before the time to retry.

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

// The headers between callers and routers.
const (
	headerProfile    = "Wisterialb-Profile"
	headerIdempotent = "Wisterialb-Idempotent"
	headerDeadline   = "Wisterialb-Deadline"
	headerResume     = "Wisterialb-Resume"
	headerKey        = "Idempotency-Key"
	headerLastEvent  = "Last-Event-ID"
)

const (
	firstBackoff    = 20 * time.Millisecond
	greatestBackoff = 500 * time.Millisecond
	dialTimeout     = time.Second
	maxAnswerBytes  = 4 << 20
	keptHistory     = 4
)

// finalKinds are the kinds of refusals that a retry cannot help.
var finalKinds = map[fault.Kind]bool{
	fault.Invalid:          true,
	fault.Unauthenticated:  true,
	fault.Forbidden:        true,
	fault.NotFound:         true,
	fault.TooLarge:         true,
	fault.BudgetExhausted:  true,
	fault.DeadlineExceeded: true,
	fault.ResponseLost:     true,
}

// Result is what became of one request, as its caller saw it.
type Result struct {
	Request Request
	// Key is the Idempotency-Key.
	Key string
	// Outcome is what the caller was told last. A caller that was told nothing
	// by its deadline takes it for OutcomeUnknown.
	Outcome fault.Outcome
	// Refusal is the kind of the last error, or empty.
	Refusal fault.Kind
	Message string
	// Text is what a completion said, or the body of another answer.
	Text string
	// Disorder is set when events of a stream came twice or with a gap.
	Disorder bool
	// Address is the router of the last try.
	Address string
	// EndedAt is when the caller had its answer or gave up.
	EndedAt time.Time
	// History tells what each of the first tries ended with.
	History []string
	// Tries counts the times the request was sent.
	Tries int
	// Resumes counts the tries that continued a stream.
	Resumes int
	// Stalls counts the tries that ended because nothing came any more.
	Stalls int
	// Unknowns counts the tries that ended without a told outcome.
	Unknowns   int
	FirstToken time.Duration
	Total      time.Duration
	gaps       []time.Duration
}

// caller sends requests.
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

// conversation is the state of one request across its tries.
type conversation struct {
	result   Result
	started  time.Time
	deadline time.Time
	// lastPart is when the last event came.
	lastPart time.Time
	text     bytes.Buffer
	position int64
	resume   string
	// skip is how many of the ranked addresses failed.
	skip int
}

// call sends the request until it has its answer or may not retry.
func (caller *caller) call(ctx context.Context, request Request) Result {
	started := time.Now()
	conversation := &conversation{started: started, deadline: started.Add(caller.config.Deadline)}
	conversation.result = Result{Request: request, Key: ulid.Make().String(), Outcome: fault.OutcomeUnknown}
	ctx, cancel := context.WithDeadline(ctx, conversation.deadline)
	defer cancel()
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := caller.try(ctx, conversation)
		if err == nil {
			conversation.answered()
			break
		}
		wait := max(fault.RetryAfterOf(err), backoff/2+rand.N(backoff))
		if finalKinds[fault.KindOf(err)] || !pause(ctx, conversation.deadline, wait) {
			break
		}
		backoff = min(2*backoff, greatestBackoff)
	}
	conversation.result.EndedAt = time.Now()
	conversation.result.Total = conversation.result.EndedAt.Sub(started)
	return conversation.result
}

func (conversation *conversation) answered() {
	conversation.result.Outcome = fault.Answered
	conversation.result.Refusal = ""
	conversation.result.Message = ""
	conversation.result.Text = conversation.text.String()
}

// pause waits; it reports false when the deadline comes first.
func pause(ctx context.Context, deadline time.Time, wait time.Duration) bool {
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

// try sends the request once and notes what the caller was told.
func (caller *caller) try(ctx context.Context, conversation *conversation) error {
	result := &conversation.result
	address := caller.address(ctx, conversation)
	result.Tries++
	result.Address = address
	err := caller.exchange(ctx, address, conversation)
	if err == nil {
		return nil
	}
	result.Outcome = fault.OutcomeOf(err)
	result.Refusal = fault.KindOf(err)
	result.Message = fault.MessageOf(err)
	if len(result.History) < keptHistory {
		result.History = append(result.History, fmt.Sprintf("%s %s %s: %s", address, result.Outcome, result.Refusal, result.Message))
	}
	if result.Outcome == fault.OutcomeUnknown {
		result.Unknowns++
	}
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Draining) {
		conversation.skip++
		caller.entries.drop(result.Request.Team.Profile)
	}
	return err
}

// address returns the address for the next try.
func (caller *caller) address(ctx context.Context, conversation *conversation) string {
	request := conversation.result.Request
	if caller.config.Direct {
		return caller.config.Entries[request.Index%len(caller.config.Entries)]
	}
	addresses := caller.entries.addresses(ctx, request.Team)
	return addresses[conversation.skip%len(addresses)]
}

// exchange sends the request to one address and reads the answer.
func (caller *caller) exchange(ctx context.Context, address string, conversation *conversation) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(caller.config.Stall, func() { cancel(errStalled) })
	defer watch.Stop()
	request, err := caller.request(ctx, address, conversation)
	if err != nil {
		return err
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return conversation.broken(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	watch.Reset(caller.config.Stall)
	if response.StatusCode != http.StatusOK {
		return conversation.refused(ctx, response)
	}
	if kinds[conversation.result.Request.Kind].stream {
		touch := func() { watch.Reset(caller.config.Stall) }
		return conversation.readStream(ctx, response, touch)
	}
	return conversation.readWhole(ctx, response)
}

var errStalled = errors.New("nothing came within the stall time")

// broken returns the error for a connection that failed. Only a connection that
// was never made proves that the request did not run.
func (conversation *conversation) broken(ctx context.Context, err error) error {
	outcome := fault.OutcomeUnknown
	if errors.Is(context.Cause(ctx), errStalled) {
		conversation.result.Stalls++
	}
	var operation *net.OpError
	neverSent := errors.As(err, &operation) && operation.Op == "dial" && conversation.result.Unknowns == 0
	if neverSent {
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

// refused returns the error that a router told.
func (conversation *conversation) refused(ctx context.Context, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return conversation.broken(ctx, err)
	}
	return toldError(data, response.Header.Get("Retry-After"))
}

// toldError returns the error in the JSON form of a router.
func toldError(data []byte, retryAfter string) error {
	var body fault.Body
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Kind == "" {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "answer is no error of a router: " + string(data[:min(len(data), 200)]),
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

// readWhole reads an answer that is not streamed.
func (conversation *conversation) readWhole(ctx context.Context, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return conversation.broken(ctx, err)
	}
	conversation.text.Reset()
	conversation.result.FirstToken = time.Since(conversation.started)
	if kinds[conversation.result.Request.Kind].model {
		data = contentOf(data)
	}
	conversation.text.Write(data)
	return nil
}

// contentOf returns the content of a completion, or the data of any other body.
func contentOf(data []byte) []byte {
	var completion standin.Completion
	err := json.Unmarshal(data, &completion)
	if err != nil || len(completion.Choices) == 0 || completion.Choices[0].Message == nil {
		return data
	}
	return []byte(completion.Choices[0].Message.Content)
}

// readStream reads a stream to its end marker.
func (conversation *conversation) readStream(ctx context.Context, response *http.Response, touch func()) error {
	if resume := response.Header.Get(headerResume); resume != "" {
		conversation.resume = resume
	}
	reader := newSSEReader(response.Body)
	first := true
	for {
		event, err := reader.next()
		if err != nil {
			return conversation.broken(ctx, err)
		}
		touch()
		if event.name == errorEvent {
			return toldError(event.data, "")
		}
		if string(event.data) == streamEndData {
			return nil
		}
		conversation.place(event, first)
		first = false
		if err := conversation.append(event.data); err != nil {
			return err
		}
	}
}

// place checks the position of an event. The first event of an answer either
// continues the stream or begins it anew.
func (conversation *conversation) place(event sseEvent, first bool) {
	restarts := event.id == 1 || (event.id == 0 && conversation.position == 0)
	if first && restarts {
		conversation.position = 0
		conversation.text.Reset()
	}
	conversation.position++
	if event.id != 0 && event.id != conversation.position {
		conversation.result.Disorder = true
		conversation.position = event.id
	}
}

// append takes the content of a chunk.
func (conversation *conversation) append(data []byte) error {
	var chunk standin.Completion
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "event is no chunk: " + err.Error(),
			Remedy:  "check the router",
			Outcome: fault.OutcomeUnknown,
			Cause:   err,
		})
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil || chunk.Choices[0].Delta.Content == "" {
		return nil
	}
	now := time.Now()
	if conversation.result.FirstToken == 0 {
		conversation.result.FirstToken = now.Sub(conversation.started)
	} else {
		conversation.result.gaps = append(conversation.result.gaps, now.Sub(conversation.lastPart))
	}
	conversation.lastPart = now
	conversation.text.WriteString(string(chunk.Choices[0].Delta.Content))
	return nil
}
