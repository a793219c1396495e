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

// Run sends the planned requests and returns the report, which it also writes to
// out behind a line of progress each second. It stops early when the context
// ends. Its errors are fault.Invalid for a bad configuration, fault.Unavailable
// for a record that cannot be read, and those of out; broken promises are in the
// report.
func Run(ctx context.Context, config Config, out io.Writer) (Report, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return Report{}, err
	}
	driver := newDriver(config)
	defer driver.caller.close()
	stopProgress := driver.showProgress(out)
	started := time.Now()
	arrivals := driver.drive(ctx, started)
	elapsed := time.Since(started)
	stopProgress()
	report, err := driver.report(ctx, elapsed, arrivals)
	if err != nil {
		return Report{}, err
	}
	if config.JSON {
		return report, report.WriteJSON(out)
	}
	return report, report.WriteTable(out)
}

// driver runs one load.
type driver struct {
	config   Config
	caller   *caller
	inFlight atomic.Int64
	answered atomic.Int64
	refused  atomic.Int64

	mutex   sync.Mutex
	results []Result
	dropped int
}

func newDriver(config Config) *driver {
	return &driver{config: config, caller: newCaller(config)}
}

// drive starts each request at its time and waits for all. It returns the time
// over which they arrived.
func (driver *driver) drive(ctx context.Context, started time.Time) time.Duration {
	var group sync.WaitGroup
	defer group.Wait()
	for _, request := range Plan(driver.config) {
		if !pauseUntil(ctx, started.Add(request.At)) {
			break
		}
		if driver.inFlight.Load() >= int64(driver.config.MaxInFlight) {
			driver.dropped++
			continue
		}
		driver.inFlight.Add(1)
		group.Go(func() { driver.one(ctx, request) })
	}
	return time.Since(started)
}

func (driver *driver) one(ctx context.Context, request Request) {
	defer driver.inFlight.Add(-1)
	result := driver.caller.call(ctx, request)
	if result.Outcome == fault.Answered {
		driver.answered.Add(1)
	} else {
		driver.refused.Add(1)
	}
	if driver.config.Observe != nil {
		driver.config.Observe(result)
	}
	driver.mutex.Lock()
	defer driver.mutex.Unlock()
	driver.results = append(driver.results, result)
}

// pauseUntil waits; it reports false when the context ended.
func pauseUntil(ctx context.Context, at time.Time) bool {
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

// showProgress writes a line each second until the returned function is called.
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
		driver.answered.Load(), driver.refused.Load(), driver.inFlight.Load(), driver.config.Requests)
}

// report judges all results.
func (driver *driver) report(ctx context.Context, elapsed, arrivals time.Duration) (Report, error) {
	collector := newCollector(driver.config)
	collector.report.DroppedByDriver = driver.dropped
	runs := func(Result) int { return -1 }
	if driver.config.Recorder != nil {
		record, err := driver.config.Recorder.Record(context.WithoutCancel(ctx))
		if err != nil {
			return Report{}, err
		}
		collector.addRecord(record)
		runs = newIndex(record).of
	}
	for _, result := range driver.results {
		collector.add(result, runs(result))
	}
	return collector.finish(elapsed, arrivals), nil
}

// tokensOf returns the completion tokens of a right answer.
func tokensOf(result Result) int64 {
	if !kinds[result.Request.Kind].model {
		return 0
	}
	return int64(standin.AnswerLength(standin.PromptOf(result.Request.Messages), result.Request.MaxTokens))
}
