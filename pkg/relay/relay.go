package relay

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/catalog"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/notice"
	"gitlab.com/wisterialb/wisterialb/pkg/placement"
	"gitlab.com/wisterialb/wisterialb/pkg/quarantine"
)

const (
	// deadlineMargin is how long before the deadline the router stops waiting for
	// an answer to begin, so that its error answer reaches the caller in time.
	deadlineMargin = 20 * time.Millisecond
	// A repeatable request waits firstByteTimeoutFactor times its latency target
	// for the first byte before another upstream is asked, or its target beyond the
	// expected time if that is longer.
	firstByteTimeoutFactor = 2
	// minInactivityTimeout is the minimum of the timeouts that are derived from
	// latency and gap targets.
	minInactivityTimeout = 300 * time.Millisecond
	// A resumable stream waits gapTimeoutFactor times its gap target for the next
	// event before another upstream is asked to resume it.
	gapTimeoutFactor = 4
	// unavailableRetryAfter is the Retry-After value when no upstream accepts the
	// request.
	unavailableRetryAfter = 250 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After value when all upstreams are in evacuated
	// zones. When a zone is taken back is unknown; routers learn of it within their poll
	// of the table, of about this length.
	evacuatedRetryAfter = time.Second
	// retryBudgetInterval is the interval at which a begun stream asks for a retry.
	retryBudgetInterval = 50 * time.Millisecond
	// maxNotRunRetries limits how often one request is sent to another upstream
	// after an attempt that was refused or never reached the upstream.
	maxNotRunRetries = 2
)

// Config configures a Relay.
type Config struct {
	// Zone is the router's availability zone.
	Zone     string
	Protocol Protocol
	// Pool returns the service's upstreams to choose from.
	Pool func(service catalog.Service) *placement.Pool
	// Client returns the HTTP client for an upstream.
	Client      func(upstream placement.Upstream) *exchange.Client
	RetryBudget *RetryBudget
	// Quarantine knows the prompt parts that crash engines.
	Quarantine *quarantine.Register
	// Answers limits what is held of all answers; nil sets no limit.
	Answers *memory.Limiter
	Logger  log.Logger
}

// Relay forwards requests to upstreams. It is safe for concurrent use.
type Relay struct {
	config Config
}

// New returns a relay with the configuration.
func New(config Config) *Relay {
	return &Relay{config: config}
}

// call is the state of one request while it is served. While the goroutine that
// serves it waits for an upstream, takeOver may change it.
type call struct {
	relay   *Relay
	request Request
	// ctx ends at the deadline.
	ctx      context.Context
	pool     *placement.Pool
	delivery *delivery
	result   Result
	// triedIDs are the IDs of upstreams that failed or refused the request, and of those
	// given up.
	triedIDs []string
	// givenUpIDs are the IDs of upstreams that were given up for another one because they
	// were silent. They are asked again if that one fails.
	givenUpIDs []string
	// returns is set once such an upstream is to be asked again.
	returns bool
	// attemptsArrived counts the attempts that may have reached an upstream.
	attemptsArrived int
	// runIDs are the IDs of the upstreams that may have run the request, each once.
	runIDs []string
	// undecidedID is the upstream of the current attempt while its answer has not
	// begun, so that it may still refuse the request; otherwise it is empty.
	undecidedID string
	// current is the attempt that the request waits for.
	current atomic.Pointer[startedAttempt]
	// takeover is the attempt for which the current one was given up.
	takeover *startedAttempt
	// reserve is an attempt that takes over if the upstream that was silent refuses the
	// request, or fails.
	reserve *startedAttempt
	// attemptsNotRun counts the attempts that were refused or never reached the
	// upstream.
	attemptsNotRun int
}

// Serve forwards the request to upstreams until one answer was delivered or no
// retry is allowed. The error is nil when an upstream's answer was delivered
// completely; otherwise it is a fault whose outcome says whether the request may
// have run.
func (relay *Relay) Serve(ctx context.Context, request Request, sink Sink) (Result, error) {
	relay.config.RetryBudget.CountRequest(request.Service.Name, request.Arrived)
	delivery := &delivery{sink: sink, lastEventID: request.LastEventID, requestArrivedAt: request.Arrived}
	ctx, cancel := withDeadline(ctx, request.Deadline, delivery.headerSent.Load)
	defer cancel()
	call := &call{relay: relay, request: request, ctx: ctx, pool: relay.config.Pool(request.Service), delivery: delivery}
	err := call.tryUpstreams(ctx)
	call.result.HeaderSent = delivery.headerSent.Load()
	call.result.Events = call.delivery.eventCount
	call.result.TimeToFirstByte = call.delivery.timeToFirstByte
	call.result.Delivered = err == nil
	call.result.MayHaveRun = call.mayHaveRun()
	return call.result, err
}

// withDeadline returns a context that ends at the deadline or, unless the answer has
// begun by then, deadlineMargin before it.
func withDeadline(ctx context.Context, deadline time.Time, begun func() bool) (context.Context, context.CancelFunc) {
	ctx, cancelAtDeadline := context.WithDeadline(ctx, deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(deadline)-deadlineMargin, func() {
		if !begun() {
			cancel(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
		cancelAtDeadline()
	}
}

func (call *call) tryUpstreams(ctx context.Context) error {
	defer call.discardTakeover()
	defer call.discardReserve()
	for {
		started, err := call.nextAttempt(ctx)
		if err != nil {
			return err
		}
		result := call.endAttempt(ctx, started, call.attempt(ctx, started))
		if result.err == nil {
			call.recordSuccess()
			return nil
		}
		call.useReserve()
		if !call.mayRetry(ctx, result) {
			return call.finalError(ctx, result.err)
		}
	}
}

// nextAttempt returns the attempt that takes over from the last one, or sends the
// request to an upstream.
func (call *call) nextAttempt(ctx context.Context) (*startedAttempt, error) {
	if started := call.takeover; started != nil {
		call.takeover = nil
		return started, nil
	}
	if call.attemptsArrived > 0 {
		if !call.pool.CanServe(call.criteria(), time.Now()) {
			return nil, call.noUpstreamError(errNoUpstreamLeft)
		}
		if !call.awaitRetry(ctx) {
			return nil, call.noUpstreamError(errRetryBudgetSpent)
		}
	}
	if err := call.relay.CheckPrompt(call.request); err != nil {
		return nil, call.quarantineError(err)
	}
	ticket := call.choose()
	if ticket == nil {
		return nil, call.noUpstreamError(errNoUpstreamLeft)
	}
	call.result.Attempts = append(call.result.Attempts, ticket.Upstream.ID)
	started := call.newStartedAttempt(ticket, func() {})
	message := call.message(started)
	call.setCurrent(started)
	started.answer, started.err = call.relay.config.Client(ticket.Upstream).Send(ctx, message)
	close(started.done)
	return started, nil
}

// discardTakeover ends an attempt that was to take over from one that ended the
// request.
func (call *call) discardTakeover() {
	if call.takeover != nil {
		call.discard(call.takeover)
	}
}

// setCurrent makes the attempt the one that the request waits for.
func (call *call) setCurrent(started *startedAttempt) {
	call.undecidedID = started.ticket.Upstream.ID
	call.current.Store(started)
}

// recordRun records that the upstream may have run the request.
func (call *call) recordRun(upstreamID string) {
	if !slices.Contains(call.runIDs, upstreamID) {
		call.runIDs = append(call.runIDs, upstreamID)
	}
}

func (call *call) mayHaveRun() bool { return len(call.runIDs) > 0 }

// runLimitReached reports whether the request may have run at as many upstreams as its
// route allows, if it is also sent to those given.
func (call *call) runLimitReached(upstreamIDs ...string) bool {
	upstreams := make(map[string]struct{}, len(call.runIDs)+len(upstreamIDs)+1)
	for _, id := range slices.Concat(call.runIDs, upstreamIDs, []string{call.undecidedID}) {
		if id != "" {
			upstreams[id] = struct{}{}
		}
	}
	return len(upstreams) >= call.request.Route.MaxAttempts
}

// mayRunElsewhere reports whether the request may be sent to an upstream other than
// those given: to any if the limit of runs is not reached, or to one that was asked
// before and has not failed, as that is no further upstream.
func (call *call) mayRunElsewhere(upstreamIDs ...string) bool {
	return !call.runLimitReached(upstreamIDs...) || len(call.askedBefore(upstreamIDs...)) > 0
}

// askedBefore returns the upstreams that may have run the request and have not failed,
// without those given.
func (call *call) askedBefore(upstreamIDs ...string) []string {
	return slices.DeleteFunc(slices.Clone(call.runIDs), func(id string) bool {
		return slices.Contains(call.triedIDs, id) || slices.Contains(upstreamIDs, id)
	})
}

// choose chooses an upstream that is not among the tried ones and the others given.
func (call *call) choose(excludedIDs ...string) *placement.Ticket {
	return call.pool.Choose(call.criteria(excludedIDs...), time.Now())
}

// criteria returns those of the next attempt, which excludes the upstreams tried
// before and the given ones. Once the limit of runs is reached, only upstreams that
// were asked before are allowed.
func (call *call) criteria(excludedIDs ...string) placement.Criteria {
	criteria := placement.Criteria{
		Parts: call.request.PromptParts, ExcludedIDs: slices.Concat(call.triedIDs, excludedIDs), Zone: call.relay.config.Zone,
		Bytes: int64(len(call.request.Body)),
	}
	if call.mayHaveRun() && call.runLimitReached() {
		criteria.AllowedIDs = call.askedBefore(excludedIDs...)
	}
	return criteria
}

// endAttempt records the end of an attempt. It returns the result with what is known
// of the upstream.
func (call *call) endAttempt(ctx context.Context, started *startedAttempt, result attemptResult) attemptResult {
	if call.hasCrashed(ctx, started.ticket.Upstream, result) {
		result.crashed, result.upstreamResult = true, placement.Unreachable
		call.recordCrash(started.ticket.Upstream, result)
	}
	if result.crashed || errors.Is(result.err, syscall.ECONNREFUSED) {
		started.ticket.ReportDown(time.Now())
	}
	started.ticket.End(result.upstreamResult, time.Now())
	call.logAttempt(started.ticket, result)
	if result.err == nil {
		return result
	}
	call.recordEnd(started)
	if !result.mayHaveRun {
		call.attemptsNotRun++
	}
	return result
}

// recordEnd records that an attempt ended without an answer. An upstream that was given
// up for another one was only silent, so it may be asked again once that one has failed.
func (call *call) recordEnd(started *startedAttempt) {
	switch {
	case call.takeover != nil:
		call.givenUpIDs = append(call.givenUpIDs, started.ticket.Upstream.ID)
	case call.current.Load() == started:
		call.triedIDs = slices.DeleteFunc(call.triedIDs, func(id string) bool { return slices.Contains(call.givenUpIDs, id) })
		call.returns = len(call.givenUpIDs) > 0
		call.givenUpIDs = nil
	}
	call.triedIDs = append(call.triedIDs, started.ticket.Upstream.ID)
}

func (call *call) logAttempt(ticket *placement.Ticket, result attemptResult) {
	if result.err == nil && call.attemptsArrived == 1 {
		return // the log line of the whole request has the same information
	}
	_ = call.relay.config.Logger.Log("event", "attempt_ended", "request_id", call.request.ID, "upstream", ticket.Upstream.ID,
		"address", ticket.Upstream.Address, "may_have_run", result.mayHaveRun, "refused", result.refused,
		"events", call.delivery.eventCount, "expected", ticket.ExpectedTimeToFirstEvent(), "err", result.err)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	err error
	// upstreamResult is the result as far as the upstream is responsible.
	upstreamResult placement.AttemptResult
	// mayHaveRun is set when the upstream may have run the request.
	mayHaveRun bool
	// refused is set when the upstream reported that it did not run the request.
	refused bool
	// crashed is set when the upstream crashed during the attempt.
	crashed bool
	// begun is set when the upstream had begun to answer, and events counts the events
	// that it had sent.
	begun  bool
	events int64
}

// attempt waits for the upstream's answer and delivers it.
func (call *call) attempt(ctx context.Context, started *startedAttempt) attemptResult {
	call.setCurrent(started)
	<-started.done
	call.undecidedID = ""
	defer started.close()
	ticket := started.ticket
	call.result.ExpectedTimeToFirstByte, call.result.UncachedTokens = ticket.ExpectedTimeToFirstEvent(), ticket.UncachedTokens()
	if started.err != nil {
		return call.sendFailure(ctx, started)
	}
	answer := started.answer
	call.attemptsArrived++
	info := call.readAnswer(started)
	if info.NotRun || info.Misdirected {
		return refusedAttempt(answer, info)
	}
	if !mayFail(answer, info) {
		call.discardReserve()
	}
	call.recordRun(ticket.Upstream.ID)
	eventsBefore := call.delivery.eventCount
	result := call.deliver(ctx, started, info)
	result.begun, result.events = true, call.delivery.eventCount-eventsBefore
	return result
}

// readAnswer returns what the status and header of an answer say, and records at the
// first call what they say of the upstream.
func (call *call) readAnswer(started *startedAttempt) AnswerInfo {
	if started.info != nil {
		return *started.info
	}
	info := call.relay.config.Protocol.ParseAnswer(started.answer)
	started.info = &info
	if info.Load != nil {
		started.ticket.ReportLoad(*info.Load)
	}
	if !info.Misdirected { // otherwise another process speaks
		started.ticket.ReportCold(info.ColdLeft, time.Now())
		started.ticket.RecordNotice(notice.Request{Leaving: info.Leaving, Pause: info.Pause, Source: call.request.ID}, time.Now())
	}
	return info
}

// message returns the request of the attempt.
func (call *call) message(started *startedAttempt) exchange.Request {
	request, protocol := call.request, call.relay.config.Protocol
	lastEventID := call.delivery.lastEventID
	message := exchange.Request{
		AttemptID:     request.ID,
		Method:        request.Method,
		Path:          request.Target,
		Header:        protocol.RequestHeader(request, started.ticket.Upstream, lastEventID),
		Body:          request.Body,
		PassThrough:   true,
		EchoHeader:    protocol.EchoHeader(),
		NewConnection: !request.Route.Repeatable(),
		AfterPosition: lastEventID,
		MaySend:       started.ticket.MaySend,
		OnSend:        started.markSent,
		MaxBodyBytes:  maxBodyBytes,
		Share:         started.share,
	}
	message.InactivityTimeout, message.GapTimeout = call.inactivityTimeouts(started.ticket)
	message.OnSilence = func(ctx context.Context) bool { return call.takeOver(ctx, started) }
	return message
}

// inactivityTimeouts returns how long an upstream may send nothing before the first
// byte and between events until takeOver is called. An attempt that can't be
// retried may take until the deadline.
func (call *call) inactivityTimeouts(ticket *placement.Ticket) (firstByte, betweenEvents time.Duration) {
	route := call.request.Route
	remaining := time.Until(call.request.Deadline)
	if !route.Repeatable() || !call.mayRunElsewhere(ticket.Upstream.ID) {
		return remaining, remaining
	}
	expected := ticket.ExpectedTimeToFirstEvent() + route.LatencyTarget
	firstByte = min(max(firstByteTimeoutFactor*route.LatencyTarget, expected, minInactivityTimeout), remaining)
	if route.GapTarget > 0 {
		return firstByte, min(max(gapTimeoutFactor*route.GapTarget, minInactivityTimeout), remaining)
	}
	return firstByte, firstByte
}

// sendFailure returns the result of an attempt that got no answer.
func (call *call) sendFailure(ctx context.Context, started *startedAttempt) attemptResult {
	err := started.err
	failure := exchange.ErrorOf(err)
	if !failure.MayHaveStarted {
		upstreamResult := placement.Unreachable
		if ctx.Err() != nil || failure.Reason == exchange.ReasonWithdrawn {
			upstreamResult = placement.Neutral
		}
		return attemptResult{err: err, upstreamResult: upstreamResult}
	}
	call.attemptsArrived++
	call.recordRun(started.ticket.Upstream.ID)
	return attemptResult{err: err, upstreamResult: failureResult(ctx), mayHaveRun: true}
}

// failureResult returns Failure, or Neutral if the caller or the deadline ended
// the attempt.
func failureResult(ctx context.Context) placement.AttemptResult {
	if ctx.Err() != nil {
		return placement.Neutral
	}
	return placement.Failure
}
