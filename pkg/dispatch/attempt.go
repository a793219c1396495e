package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/notice"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	// reasonRefused means that the upstream refused the attempt without running it.
	reasonRefused exchange.Reason = "refused"
	// minPlainTimeout is the minimum inactivity timeout for a plain service.
	minPlainTimeout = 10 * time.Millisecond
	// maxCancelCalls bounds the calls made to cancel one attempt.
	maxCancelCalls = 2
)

// refusalError means that an upstream refused an attempt and did not run it.
type refusalError struct {
	status     int
	retryAfter time.Duration
}

func (err *refusalError) Error() string {
	return "the upstream refused the attempt with status " + strconv.Itoa(err.status)
}

// errAttemptExists means that an engine rejected a resent attempt as a duplicate.
var errAttemptExists = errors.New("the engine already has the attempt")

// attempt is one attempt of a request at one upstream, including the recoveries
// (resume or resend) at that upstream.
type attempt struct {
	run               *run
	member            *upstream.Member
	record            AttemptRecord
	startedAt         time.Time
	firstPartReceived bool
	// recoveriesWithoutProgress counts the recoveries made since an event was last
	// delivered.
	recoveriesWithoutProgress int
	// positionAtRecovery is the last delivered position at the latest recovery.
	positionAtRecovery int64
	// sentOnStalledConnection is set when the attempt was sent on a connection that
	// stalled, so that the engine may not have received it.
	sentOnStalledConnection bool
	// unknownToEngine is set when the engine reports that it has no record of the
	// attempt.
	unknownToEngine bool
	// retryWithdrawn is set when the attempt was given up for a retry that the retry
	// budget has already allowed.
	retryWithdrawn bool
	// status is the HTTP status of the answer; zero means that none was accepted for
	// delivery.
	status int
	// firstPosition is the last position that earlier attempts delivered.
	firstPosition int64
	// share counts what is held of the answer.
	share *memory.Share
}

func newAttempt(run *run, member *upstream.Member, id string) *attempt {
	return &attempt{
		run:           run,
		member:        member,
		record:        AttemptRecord{AttemptID: id, UpstreamAddress: member.Address()},
		startedAt:     time.Now(),
		firstPosition: run.delivery.lastPosition,
		share:         run.dispatcher.config.Answers.NewShare(memory.ShareConfig{Kind: run.service.name, Owner: member.Address()}),
	}
}

// execute sends the attempt and delivers its answer to the sink.
func (attempt *attempt) execute(ctx context.Context) error {
	answer, err := attempt.send(ctx)
	if err != nil {
		attempt.sentOnStalledConnection = exchange.ErrorOf(err).Reason == exchange.ReasonStalled
	}
	return attempt.deliverWithRecovery(ctx, answer, err)
}

func (attempt *attempt) send(ctx context.Context) (*exchange.Answer, error) {
	work := attempt.run.work
	header := work.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if header.Get(headerIdempotencyKey) == "" {
		header.Set(headerIdempotencyKey, work.RequestID)
	}
	request := exchange.Request{
		AttemptID:     attempt.record.AttemptID,
		Priority:      work.Priority,
		Method:        work.Method,
		Path:          work.Path,
		Header:        header,
		Body:          work.Body,
		ModelEngine:   work.ModelEngine,
		NewConnection: !work.Idempotent,
		Share:         attempt.share,
	}
	if !work.ModelEngine {
		request.InactivityTimeout = attempt.plainTimeout()
		request.OnSilence = attempt.giveUp
	}
	return attempt.member.Client().Send(ctx, request)
}

// plainTimeout returns the inactivity timeout for a plain service. For an idempotent
// request it is at most half of the time until the deadline, but at least
// minPlainTimeout, which leaves time for another attempt.
func (attempt *attempt) plainTimeout() time.Duration {
	work := attempt.run.work
	timeout := attempt.run.dispatcher.config.PlainTimeout
	if !work.Idempotent || work.Deadline.IsZero() {
		return timeout
	}
	return min(timeout, max(time.Until(work.Deadline)/2, minPlainTimeout))
}

// giveUp reports whether to end the attempt at a plain service that is silent: it may
// go on, so only if another upstream can be asked or PlainTimeout has passed.
func (attempt *attempt) giveUp(context.Context) bool {
	run := attempt.run
	if !run.work.Idempotent || time.Since(attempt.startedAt) >= run.dispatcher.config.PlainTimeout {
		return true
	}
	isLast := len(run.result.Attempts)+1 >= run.dispatcher.config.Retry.MaxAttempts
	isLast = isLast || !run.service.pool.HasOther(attempt.member.Address())
	attempt.retryWithdrawn = !isLast && run.service.retryBudget.withdraw()
	return attempt.retryWithdrawn
}

// deliverWithRecovery delivers the answer. After an error it resumes or resends
// the attempt at the same upstream as long as the recovery rules allow.
func (attempt *attempt) deliverWithRecovery(ctx context.Context, answer *exchange.Answer, err error) error {
	for {
		if err == nil {
			err = attempt.deliverAnswer(ctx, answer)
			answer.Close()
		}
		if err == nil {
			return nil
		}
		attempt.recordFailure(err)
		switch recovery := attempt.nextRecovery(ctx, err); recovery {
		case recoverResume:
			answer, err = attempt.member.Client().Resume(ctx, attempt.record.AttemptID, attempt.run.delivery.lastPosition, attempt.share)
		case recoverResend:
			attempt.unknownToEngine = false
			attempt.sentOnStalledConnection = false
			answer, err = attempt.send(ctx)
		case recoverNone:
			return err
		}
	}
}

// recordFailure updates the attempt's state from an error.
func (attempt *attempt) recordFailure(err error) {
	failure := exchange.ErrorOf(err)
	switch {
	case errors.Is(err, exchange.ErrUnknownAttempt):
		attempt.unknownToEngine = true
	case errors.Is(err, errAttemptExists):
		attempt.unknownToEngine = false
	case failure.Reason == reasonRefused:
		attempt.reportOverload(err)
	default:
		attempt.record.MayHaveStarted = attempt.record.MayHaveStarted || failure.MayHaveStarted
	}
	if failure.Reason == exchange.ReasonStalled {
		attempt.member.Client().ReplaceTransport()
	}
}

// reportOverload lowers the concurrency limit of an upstream that refused the
// attempt because of its load.
func (attempt *attempt) reportOverload(err error) {
	if isRefusal(err, http.StatusTooManyRequests) {
		attempt.run.service.pool.ObserveRefusal(attempt.member)
	}
}

// asksForPause reports whether err is a refusal that says when the upstream accepts
// requests again.
func (attempt *attempt) asksForPause(err error) bool {
	var refusal *refusalError
	return errors.As(err, &refusal) && refusal.retryAfter > 0
}

// isRefusal reports whether err is a refusal with the status.
func isRefusal(err error, status int) bool {
	var refusal *refusalError
	return errors.As(err, &refusal) && refusal.status == status
}

// nextRecovery chooses the recovery at the same upstream. It backs off if an
// earlier recovery made no progress.
func (attempt *attempt) nextRecovery(ctx context.Context, err error) recovery {
	delivery := attempt.run.delivery
	if delivery.lastPosition > attempt.positionAtRecovery {
		attempt.positionAtRecovery = delivery.lastPosition
		attempt.recoveriesWithoutProgress = 0
	}
	retry := attempt.run.dispatcher.config.Retry
	recovery := chooseRecovery(recoveryConditions{
		Reason:                  exchange.ErrorOf(err).Reason,
		ModelEngine:             attempt.run.work.ModelEngine,
		MayHaveStarted:          attempt.record.MayHaveStarted,
		CallerGone:              delivery.callerGone || ctx.Err() != nil || errors.Is(err, errReservationExceeded),
		Delivered:               delivery.headSent || delivery.lastPosition > 0,
		UnknownToEngine:         attempt.unknownToEngine,
		SentOnStalledConnection: attempt.sentOnStalledConnection,
		Exhausted:               attempt.recoveriesWithoutProgress >= retry.MaxResumes,
	})
	if recovery == recoverNone {
		return recovery
	}
	if !attempt.waitForPause(ctx) {
		return recoverNone
	}
	if attempt.recoveriesWithoutProgress > 0 {
		sleep(ctx, retry.InitialBackoff<<attempt.recoveriesWithoutProgress)
	}
	attempt.recoveriesWithoutProgress++
	attempt.run.dispatcher.metrics.recoveries.WithLabelValues(attempt.run.service.name, string(recovery)).Inc()
	return recovery
}

// waitForPause waits until the upstream accepts requests again. It reports false at
// once if that takes longer than the request may wait.
func (attempt *attempt) waitForPause(ctx context.Context) bool {
	pause := attempt.run.service.pool.PauseOf(attempt.member)
	if pause == 0 {
		return true
	}
	deadline, ok := ctx.Deadline()
	if pause > attempt.run.service.maxWait || ok && pause > time.Until(deadline) {
		return false
	}
	sleep(ctx, pause)
	return ctx.Err() == nil
}

// deliverAnswer passes the complete answer to the sink.
func (attempt *attempt) deliverAnswer(ctx context.Context, answer *exchange.Answer) error {
	if err := attempt.checkAnswer(answer); err != nil {
		return err
	}
	attempt.status = answer.Status
	head := attempt.newHead(answer)
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			attempt.share.Complete()
			attempt.run.delivery.parseBody()
			return attempt.run.delivery.sendHead(head)
		}
		if err != nil {
			return err
		}
		attempt.observeFirstPart()
		if err := attempt.deliverPart(ctx, head, answer, part); err != nil {
			return err
		}
	}
}

// deliverPart passes a part to the sink, once there is room to hold it. Nothing more is
// read while it waits.
func (attempt *attempt) deliverPart(ctx context.Context, head Head, answer *exchange.Answer, part exchange.Part) error {
	delivery := attempt.run.delivery
	expected := delivery.expectedGrowth(answer, part)
	if err := attempt.share.Grow(ctx, expected); err != nil {
		return exchange.NewLimitError(err)
	}
	if err := delivery.write(head, answer, part); err != nil {
		if fault.Is(err, fault.UpstreamFailed) {
			attempt.share.Endless()
		}
		return &exchange.Error{Reason: exchange.ReasonCancelled, MayHaveStarted: true, Err: err}
	}
	grown := delivery.growth()
	if grown > expected {
		if err := attempt.share.Grow(ctx, grown-expected); err != nil {
			return exchange.NewLimitError(err)
		}
	} else {
		attempt.share.Shrink(expected - grown)
	}
	if answer.Stream && delivery.held == 0 {
		attempt.share.Complete() // one event of the stream is held at a time
	}
	return nil
}

func (attempt *attempt) newHead(answer *exchange.Answer) Head {
	head := Head{Status: answer.Status, Header: answer.Header}
	if attempt.run.work.ModelEngine && answer.Stream {
		head.Resume = ResumeToken{
			UpstreamAddress: attempt.record.UpstreamAddress,
			AttemptID:       attempt.record.AttemptID,
			Position:        attempt.run.delivery.lastPosition,
		}
	}
	return head
}

// observeFirstPart records the latency of the first part, once per attempt. The
// upstream's concurrency limit is not adapted to the latency of a recovered attempt,
// which includes the recovery.
func (attempt *attempt) observeFirstPart() {
	if attempt.firstPartReceived {
		return
	}
	attempt.firstPartReceived = true
	latency := time.Since(attempt.startedAt)
	if attempt.recoveriesWithoutProgress == 0 {
		attempt.run.service.pool.ObserveFirstPart(attempt.member, latency)
	}
	attempt.run.dispatcher.metrics.observeFirstPart(attempt.run.service.name, latency)
}

// checkAnswer returns an error if the answer must not be delivered because the
// attempt is to be recovered or retried.
func (attempt *attempt) checkAnswer(answer *exchange.Answer) error {
	if !attempt.run.work.ModelEngine {
		return attempt.checkPlainAnswer(answer)
	}
	if answer.Resumed() {
		return checkResumedAnswer(answer)
	}
	switch answer.Status {
	case http.StatusConflict:
		return startedError(errAttemptExists)
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return newRefusal(answer)
	}
	if answer.Status >= http.StatusInternalServerError {
		return startedError(&exchange.StatusError{Status: answer.Status})
	}
	return nil
}

// checkResumed returns an error for a resumed answer that is not a stream.
func checkResumedAnswer(answer *exchange.Answer) error {
	switch {
	case answer.Status == http.StatusNotFound:
		return startedError(exchange.ErrUnknownAttempt)
	case answer.Status != http.StatusOK, !answer.Stream:
		return startedError(&exchange.StatusError{Status: answer.Status})
	default:
		return nil
	}
}

// startedError returns the error of a failed attempt that the upstream may have
// run or may still be running.
func startedError(err error) error {
	return &exchange.Error{Reason: exchange.ReasonClosed, MayHaveStarted: true, Err: err}
}

// retryableStatuses are the statuses of a plain service after which an idempotent
// request is retried at another upstream.
var retryableStatuses = map[int]bool{
	http.StatusBadGateway:         true,
	http.StatusServiceUnavailable: true,
	http.StatusGatewayTimeout:     true,
}

// checkPlain returns an error only if the request can be retried at another
// upstream. Otherwise a plain service's error response is delivered as its answer.
func (attempt *attempt) checkPlainAnswer(answer *exchange.Answer) error {
	run := attempt.run
	lastAttempt := len(run.result.Attempts)+1 >= run.dispatcher.config.Retry.MaxAttempts
	if !retryableStatuses[answer.Status] || !run.work.Idempotent || lastAttempt || run.work.ReservedTokens > 0 {
		return nil
	}
	return startedError(&exchange.StatusError{Status: answer.Status})
}

// newRefusal returns the error of an attempt that the engine did not run.
func newRefusal(answer *exchange.Answer) error {
	refusal := &refusalError{status: answer.Status, retryAfter: notice.ParseRetryAfter(answer.Header.Get(headerRetryAfter))}
	return &exchange.Error{Reason: reasonRefused, Err: refusal}
}

// settle determines the attempt's usage. It cancels a failed attempt that the
// engine may still be running.
func (attempt *attempt) settle(ctx context.Context, err error) {
	attempt.record.Err = err
	switch {
	case err == nil:
		attempt.record.MayHaveStarted = true
		attempt.record.Usage = attempt.deliveredUsage(ctx)
	case !attempt.record.MayHaveStarted:
		attempt.record.Usage = Usage{Known: true}
	case attempt.run.work.ModelEngine:
		attempt.record.Usage = attempt.cancel(ctx)
	}
}

// deliveredUsage returns the usage of a completely delivered answer.
func (attempt *attempt) deliveredUsage(ctx context.Context) Usage {
	usage := attempt.run.delivery.usage
	if usage.Known || !attempt.run.work.ModelEngine {
		return usage
	}
	if attempt.status >= http.StatusBadRequest {
		return Usage{Known: true}
	}
	ctx, cancel := controlContext(ctx)
	defer cancel()
	record, err := attempt.member.Client().AttemptRecord(ctx, attempt.record.AttemptID)
	return usageOf(record, err)
}

// cancel cancels the attempt at the engine and returns its usage.
func (attempt *attempt) cancel(ctx context.Context) Usage {
	ctx, cancel := controlContext(ctx)
	defer cancel()
	for range maxCancelCalls {
		record, err := attempt.member.Client().Cancel(ctx, attempt.record.AttemptID)
		if err == nil || errors.Is(err, exchange.ErrUnknownAttempt) {
			return usageOf(record, err)
		}
	}
	return Usage{}
}

// usageOf returns the usage in the engine's record of the attempt. The usage is
// unknown if the record could not be read or the attempt is still running.
func usageOf(record exchange.Record, err error) Usage {
	if err != nil || record.State == exchange.StateRunning {
		return Usage{}
	}
	return reportedUsage(record.PromptTokens, record.CompletionTokens)
}

// attemptResult returns what the attempt's end says about the upstream's health.
func (attempt *attempt) attemptResult(ctx context.Context, err error) upstream.AttemptResult {
	switch {
	case err == nil && attempt.status < http.StatusInternalServerError:
		return upstream.Success
	case attempt.run.delivery.callerGone, ctx.Err() != nil, attempt.unknownToEngine, errors.Is(err, errReservationExceeded):
		return upstream.Neutral
	case isRefusal(err, http.StatusNotFound), isRefusal(err, http.StatusTooManyRequests), attempt.asksForPause(err):
		return upstream.Neutral
	default:
		return upstream.Failure
	}
}

// resultLabel returns the attempt's result as a metric label and log value.
func (attempt *attempt) resultLabel(err error) string {
	switch {
	case err == nil:
		return "answered"
	case attempt.run.delivery.callerGone:
		return "caller_gone"
	default:
		return string(exchange.ErrorOf(err).Reason)
	}
}
