package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	// reasonRefused means that the upstream refused the attempt unrun.
	reasonRefused exchange.Reason = "refused"
	// minPlainTimeout is the shortest bound on the silence of a plain service.
	minPlainTimeout = 10 * time.Millisecond
	// cancelTries is how often an attempt's cancelling is tried.
	cancelTries = 2
)

// refusalError means that an upstream refused an attempt and did not run it.
type refusalError struct {
	status     int
	retryAfter time.Duration
}

// Error returns the status.
func (err *refusalError) Error() string {
	return "the upstream refused the attempt with status " + strconv.Itoa(err.status)
}

// errConflict means that the engine already has an attempt that was sent again.
var errConflict = errors.New("the engine already has the attempt")

// attempt is one attempt at one upstream, with its recoveries.
type attempt struct {
	run     *run
	member  *upstream.Member
	record  AttemptRecord
	begunAt time.Time
	// answered is set when the first part has come.
	answered bool
	// recoveries counts those since the last progress.
	recoveries int
	// progress is the position at the last recovery.
	progress int64
	// silent is set when the attempt was sent on a connection that stalled.
	silent bool
	// unseen is set when the engine says that it never saw the attempt.
	unseen bool
	status int
}

func newAttempt(run *run, member *upstream.Member, id string) *attempt {
	return &attempt{
		run:     run,
		member:  member,
		record:  AttemptRecord{Attempt: id, Upstream: member.Address()},
		begunAt: time.Now(),
	}
}

// execute sends the attempt and delivers its answer.
func (attempt *attempt) execute(ctx context.Context) error {
	answer, err := attempt.send(ctx)
	if err != nil {
		attempt.silent = exchange.ErrorOf(err).Reason == exchange.ReasonStalled
	}
	return attempt.follow(ctx, answer, err)
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
		AttemptID:     attempt.record.Attempt,
		Priority:      work.Priority,
		Method:        work.Method,
		Path:          work.Path,
		Header:        header,
		Body:          work.Body,
		ModelEngine:   work.Model,
		NewConnection: !work.Idempotent,
	}
	if !work.Model {
		request.InactivityTimeout = attempt.plainTimeout()
	}
	return attempt.member.Client().Send(ctx, request)
}

// plainTimeout bounds the silence of a plain service. An idempotent request
// keeps half of its time for another attempt.
func (attempt *attempt) plainTimeout() time.Duration {
	work := attempt.run.work
	timeout := attempt.run.dispatcher.config.PlainTimeout
	if !work.Idempotent || work.Deadline.IsZero() {
		return timeout
	}
	return min(timeout, max(time.Until(work.Deadline)/2, minPlainTimeout))
}

// follow delivers the answer and recovers it at the same upstream.
func (attempt *attempt) follow(ctx context.Context, answer *exchange.Answer, err error) error {
	for {
		if err == nil {
			err = attempt.read(answer)
			answer.Close()
		}
		if err == nil {
			return nil
		}
		attempt.note(err)
		switch recovery := attempt.recovery(ctx, err); recovery {
		case recoverResume:
			answer, err = attempt.member.Client().Resume(ctx, attempt.record.Attempt, attempt.run.delivery.position)
		case recoverResend:
			attempt.unseen = false
			attempt.silent = false
			answer, err = attempt.send(ctx)
		case recoverNone:
			return err
		}
	}
}

// note takes in what an error says of the attempt.
func (attempt *attempt) note(err error) {
	failure := exchange.ErrorOf(err)
	switch {
	case errors.Is(err, exchange.ErrUnknownAttempt):
		attempt.unseen = true
	case errors.Is(err, errConflict):
		attempt.unseen = false
	case failure.Reason == reasonRefused:
		attempt.discourage(err)
	default:
		attempt.record.Started = attempt.record.Started || failure.MayHaveStarted
	}
	if failure.Reason == exchange.ReasonStalled {
		attempt.member.Client().ReplaceTransport()
	}
}

// discourage lowers the limit of an upstream that refused for its load.
func (attempt *attempt) discourage(err error) {
	if refusedFor(err, http.StatusTooManyRequests) {
		attempt.run.service.pool.ObserveRefusal(attempt.member)
	}
}

// refusedFor reports whether err is a refusal with the status.
func refusedFor(err error, status int) bool {
	var refusal *refusalError
	return errors.As(err, &refusal) && refusal.status == status
}

// recovery decides how to go on at the same upstream, and waits if it was tried
// before without progress.
func (attempt *attempt) recovery(ctx context.Context, err error) recovery {
	delivery := attempt.run.delivery
	if delivery.position > attempt.progress {
		attempt.progress = delivery.position
		attempt.recoveries = 0
	}
	retry := attempt.run.dispatcher.config.Retry
	recovery := recoveryFor(breakage{
		Reason:     exchange.ErrorOf(err).Reason,
		Model:      attempt.run.work.Model,
		Started:    attempt.record.Started,
		CallerGone: delivery.gone || ctx.Err() != nil || errors.Is(err, errReservation),
		Delivered:  delivery.head || delivery.position > 0,
		Unseen:     attempt.unseen,
		Silent:     attempt.silent,
		Exhausted:  attempt.recoveries >= retry.MaxResumes,
	})
	if recovery == recoverNone {
		return recovery
	}
	if attempt.recoveries > 0 {
		pause(ctx, retry.InitialBackoff<<attempt.recoveries)
	}
	attempt.recoveries++
	attempt.run.dispatcher.metrics.recoveries.WithLabelValues(attempt.run.service.name, string(recovery)).Inc()
	return recovery
}

// read delivers the answer to its end.
func (attempt *attempt) read(answer *exchange.Answer) error {
	if err := attempt.inspect(answer); err != nil {
		return err
	}
	attempt.status = answer.Status
	head := attempt.head(answer)
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			attempt.run.delivery.finish()
			return attempt.run.delivery.begin(head)
		}
		if err != nil {
			return err
		}
		attempt.observeFirst()
		if err := attempt.run.delivery.write(head, answer, part); err != nil {
			return &exchange.Error{Reason: exchange.ReasonCancelled, MayHaveStarted: true, Err: err}
		}
	}
}

func (attempt *attempt) head(answer *exchange.Answer) Head {
	head := Head{Status: answer.Status, Header: answer.Header}
	if attempt.run.work.Model && answer.Stream {
		head.Resume = ResumeToken{
			Upstream: attempt.record.Upstream,
			Attempt:  attempt.record.Attempt,
			Position: attempt.run.delivery.position,
		}
	}
	return head
}

// observeFirst tells the pool how long the first part took.
func (attempt *attempt) observeFirst() {
	if attempt.answered {
		return
	}
	attempt.answered = true
	latency := time.Since(attempt.begunAt)
	if attempt.recoveries == 0 {
		attempt.run.service.pool.ObserveFirstPart(attempt.member, latency)
	}
	attempt.run.dispatcher.metrics.firstPart(attempt.run.service.name, latency)
}

// inspect returns an error for an answer that isn't to be delivered.
func (attempt *attempt) inspect(answer *exchange.Answer) error {
	if !attempt.run.work.Model {
		return attempt.inspectPlain(answer)
	}
	if answer.Resumed() {
		return inspectResumed(answer)
	}
	switch answer.Status {
	case http.StatusConflict:
		return broken(errConflict)
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refused(answer)
	}
	if answer.Status >= http.StatusInternalServerError {
		return broken(&exchange.StatusError{Status: answer.Status})
	}
	return nil
}

// inspectResumed returns an error for a resumed answer that is no stream.
func inspectResumed(answer *exchange.Answer) error {
	switch {
	case answer.Status == http.StatusNotFound:
		return broken(exchange.ErrUnknownAttempt)
	case answer.Status != http.StatusOK, !answer.Stream:
		return broken(&exchange.StatusError{Status: answer.Status})
	default:
		return nil
	}
}

// broken returns the error for an answer that ended an attempt which may run.
func broken(err error) error {
	return &exchange.Error{Reason: exchange.ReasonClosed, MayHaveStarted: true, Err: err}
}

// retryable are the statuses of a plain service after which an idempotent
// request is sent elsewhere.
var retryable = map[int]bool{
	http.StatusBadGateway:         true,
	http.StatusServiceUnavailable: true,
	http.StatusGatewayTimeout:     true,
}

// inspectPlain refuses an answer only if the request can be sent elsewhere: a
// plain service's error is an answer otherwise.
func (attempt *attempt) inspectPlain(answer *exchange.Answer) error {
	run := attempt.run
	last := len(run.result.Attempts)+1 >= run.dispatcher.config.Retry.MaxAttempts
	if !retryable[answer.Status] || !run.work.Idempotent || last || run.work.MaxTokens > 0 {
		return nil
	}
	return broken(&exchange.StatusError{Status: answer.Status})
}

// refused returns the error for an attempt that the engine did not run.
func refused(answer *exchange.Answer) error {
	seconds, _ := strconv.Atoi(answer.Header.Get(headerRetryAfter))
	refusal := &refusalError{status: answer.Status, retryAfter: time.Duration(seconds) * time.Second}
	return &exchange.Error{Reason: reasonRefused, Err: refusal}
}

// settle finds out what the attempt has used, cancelling it if it was given up.
func (attempt *attempt) settle(ctx context.Context, err error) {
	attempt.record.Err = err
	switch {
	case err == nil:
		attempt.record.Started = true
		attempt.record.Usage = attempt.delivered(ctx)
	case !attempt.record.Started:
		attempt.record.Usage = Usage{Known: true}
	case attempt.run.work.Model:
		attempt.record.Usage = attempt.cancel(ctx)
	}
}

// delivered returns the usage of an answer that was delivered whole.
func (attempt *attempt) delivered(ctx context.Context) Usage {
	usage := attempt.run.delivery.usage
	if usage.Known || !attempt.run.work.Model {
		return usage
	}
	if attempt.status >= http.StatusBadRequest {
		return Usage{Known: true}
	}
	ctx, cancel := controlContext(ctx)
	defer cancel()
	record, err := attempt.member.Client().AttemptRecord(ctx, attempt.record.Attempt)
	return usageOf(record, err)
}

// cancel stops the attempt at the engine and returns what it used.
func (attempt *attempt) cancel(ctx context.Context) Usage {
	ctx, cancel := controlContext(ctx)
	defer cancel()
	for range cancelTries {
		record, err := attempt.member.Client().Cancel(ctx, attempt.record.Attempt)
		if err == nil || errors.Is(err, exchange.ErrUnknownAttempt) {
			return usageOf(record, err)
		}
	}
	return Usage{}
}

// usageOf returns the usage in the record of an attempt that has ended.
func usageOf(record exchange.Record, err error) Usage {
	if err != nil || record.State == exchange.StateRunning {
		return Usage{}
	}
	return Usage{PromptTokens: record.PromptTokens, CompletionTokens: record.CompletionTokens, Known: true}
}

// verdict tells what the attempt's end says of the upstream.
func (attempt *attempt) verdict(ctx context.Context, err error) upstream.AttemptResult {
	switch {
	case err == nil && attempt.status < http.StatusInternalServerError:
		return upstream.Success
	case attempt.run.delivery.gone, ctx.Err() != nil, attempt.unseen, errors.Is(err, errReservation):
		return upstream.Neutral
	case refusedFor(err, http.StatusNotFound), refusedFor(err, http.StatusTooManyRequests):
		return upstream.Neutral
	default:
		return upstream.Failure
	}
}

// end names the attempt's end for metrics and logs.
func (attempt *attempt) end(err error) string {
	switch {
	case err == nil:
		return "answered"
	case attempt.run.delivery.gone:
		return "caller_gone"
	default:
		return string(exchange.ErrorOf(err).Reason)
	}
}
