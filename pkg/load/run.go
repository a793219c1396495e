package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const progressInterval = time.Second

// Run sends the planned requests and returns the report. It writes a progress line
// to out each second and the report at the end. It stops early when the context
// ends. It returns fault.Invalid for an invalid configuration, fault.Unavailable
// for a run record that cannot be read, and errors of writing to out. Violations
// are in the report, not in the error.
func Run(ctx context.Context, config Config, out io.Writer) (Report, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return Report{}, err
	}
	driver := newDriver(config)
	defer driver.caller.close()
	stopProgress := driver.showProgress(out)
	startedAt := time.Now()
	arrivalPeriod := driver.sendAll(ctx, startedAt)
	elapsed := time.Since(startedAt)
	stopProgress()
	report, err := driver.report(ctx, elapsed, arrivalPeriod)
	if err != nil {
		return Report{}, err
	}
	if config.JSON {
		return report, report.WriteJSON(out)
	}
	return report, report.WriteTable(out)
}

// driver sends the requests of one run and collects their results.
type driver struct {
	config        Config
	caller        *caller
	inFlightCount atomic.Int64
	answered      atomic.Int64
	notAnswered   atomic.Int64

	mutex        sync.Mutex
	results      []Result
	droppedCount int
}

func newDriver(config Config) *driver {
	return &driver{config: config, caller: newCaller(config)}
}

// sendAll starts each request at its arrival time and waits for all of them. It
// returns the period in which they arrived.
func (driver *driver) sendAll(ctx context.Context, startedAt time.Time) time.Duration {
	var group sync.WaitGroup
	defer group.Wait()
	for _, request := range Plan(driver.config) {
		if !sleepUntil(ctx, startedAt.Add(request.ArrivalOffset)) {
			break
		}
		if driver.inFlightCount.Load() >= int64(driver.config.MaxInFlight) {
			driver.droppedCount++
			continue
		}
		driver.inFlightCount.Add(1)
		group.Go(func() { driver.runRequest(ctx, request) })
	}
	return time.Since(startedAt)
}

func (driver *driver) runRequest(ctx context.Context, request Request) {
	defer driver.inFlightCount.Add(-1)
	result := driver.caller.call(ctx, request)
	if result.Outcome == fault.Answered {
		driver.answered.Add(1)
	} else {
		driver.notAnswered.Add(1)
	}
	if driver.config.OnResult != nil {
		driver.config.OnResult(result)
	}
	driver.mutex.Lock()
	defer driver.mutex.Unlock()
	driver.results = append(driver.results, result)
}

// sleepUntil waits until the time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
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

// showProgress writes a progress line each second until the returned function is
// called.
func (driver *driver) showProgress(out io.Writer) func() {
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				driver.writeProgress(out)
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

func (driver *driver) writeProgress(out io.Writer) {
	if driver.config.JSON {
		return
	}
	_, _ = fmt.Fprintf(out, "%d answered, %d refused or unknown, %d in flight of %d\n",
		driver.answered.Load(), driver.notAnswered.Load(), driver.inFlightCount.Load(), driver.config.Requests)
}

// report evaluates all results.
func (driver *driver) report(ctx context.Context, elapsed, arrivalPeriod time.Duration) (Report, error) {
	collector := newCollector(driver.config)
	collector.report.DroppedByDriver = driver.droppedCount
	runCountOf := func(Result) int { return -1 }
	if driver.config.Recorder != nil {
		record, err := driver.config.Recorder.Record(context.WithoutCancel(ctx))
		if err != nil {
			return Report{}, err
		}
		collector.addRunRecord(record)
		runCountOf = newRunIndex(record).runCount
	}
	for _, result := range driver.results {
		collector.add(result, runCountOf(result))
	}
	return collector.finish(elapsed, arrivalPeriod), nil
}

// tokensOf returns the number of completion tokens of a correct answer, or 0 for
// requests to plain services.
func tokensOf(result Result) int64 {
	if !kindTable[result.Request.Kind].isCompletion {
		return 0
	}
	return int64(standin.AnswerLength(standin.PromptOf(result.Request.Messages), result.Request.MaxTokens))
}
