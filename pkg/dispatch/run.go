package dispatch

import (
	"context"
	"errors"
	"io"

	"github.com/oklog/ulid/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// run is the life of one request.
type run struct {
	dispatcher *UpstreamDispatcher
	pool       *pool
	work       Work
	delivery   *delivery
	result     Result
}

func newRun(dispatcher *UpstreamDispatcher, pool *pool, work Work, sink Sink) *run {
	return &run{
		dispatcher: dispatcher,
		pool:       pool,
		work:       work,
		delivery:   &delivery{work: work, sink: sink},
	}
}

// do runs the request to its end.
func (run *run) do(ctx context.Context) (Result, error) {
	member, err := run.pool.acquire()
	if err != nil {
		run.result.Outcome = fault.NotRun
		return run.result, err
	}
	defer run.pool.releaseMember(member)
	record := AttemptRecord{Attempt: ulid.Make().String(), Upstream: member.upstream.Address}
	err = run.attempt(ctx, member, &record)
	run.result.Attempts = append(run.result.Attempts, record)
	run.result.Usage = record.Usage
	run.result.Outcome = fault.Answered
	if err != nil {
		run.result.Outcome = fault.OutcomeOf(err)
	}
	return run.result, err
}

// attempt runs one attempt and fills in its record.
func (run *run) attempt(ctx context.Context, member *member, record *AttemptRecord) error {
	answer, err := member.client.Send(ctx, run.request(record.Attempt))
	if err == nil {
		err = run.read(answer, *record)
		answer.Close()
	}
	if err == nil {
		record.Started = true
		record.Usage = run.delivery.usage
		return nil
	}
	failure := exchange.ErrorOf(err)
	record.Started = failure.Started
	record.Err = err
	record.Usage = run.cancel(ctx, member, record)
	return run.lost(record)
}

func (run *run) request(attempt string) exchange.Request {
	return exchange.Request{
		Attempt:  attempt,
		Priority: run.work.Priority,
		Method:   run.work.Method,
		Path:     run.work.Path,
		Header:   run.work.Header,
		Body:     run.work.Body,
		Patient:  !run.work.Model,
		Model:    run.work.Model,
	}
}

// read delivers the answer to its end.
func (run *run) read(answer *exchange.Answer, record AttemptRecord) error {
	head := Head{Status: answer.Status, Header: answer.Header}
	if run.work.Model && answer.Stream {
		head.Resume = ResumeToken{Upstream: record.Upstream, Attempt: record.Attempt}
	}
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			run.delivery.finish()
			return run.delivery.begin(head)
		}
		if err != nil {
			return err
		}
		if err := run.delivery.write(head, answer, part); err != nil {
			return err
		}
	}
}

// cancel stops the attempt at the engine and returns what it used.
func (run *run) cancel(ctx context.Context, member *member, record *AttemptRecord) Usage {
	if !record.Started {
		return Usage{Known: true}
	}
	if !run.work.Model {
		return Usage{}
	}
	ctx, cancel := controlContext(ctx)
	defer cancel()
	stopped, err := member.client.Cancel(ctx, record.Attempt)
	if err != nil {
		return Usage{}
	}
	return Usage{PromptTokens: stopped.PromptTokens, CompletionTokens: stopped.CompletionTokens, Known: true}
}

// lost returns the error that ends the request.
func (run *run) lost(record *AttemptRecord) error {
	if !record.Started {
		return fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "the upstream could not be reached",
			Remedy:  "send the request again",
			Cause:   record.Err,
		})
	}
	return fault.New(fault.Config{
		Kind:    fault.Lost,
		Message: "the answer was broken off",
		Remedy:  "send the request again with the same request id",
		Outcome: fault.OutcomeUnknown,
		Cause:   record.Err,
	})
}
