package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

const (
	overloadEngines  = 2
	overloadSlots    = 8
	overloadDuration = 4 * time.Second
	overloadDeadline = time.Second
	// overloadCapacityPerSecond approximates the number of requests a second that
	// the engines answer with all slots in use, when each token takes 10 ms.
	overloadCapacityPerSecond = overloadEngines * overloadSlots * 1000 / ((maxTokens + 1) * 10)
)

// BenchmarkOverload offers multiples of the capacity of two engines. It reports the
// requests that were answered within their deadline, those that did not run, and
// those that may have run without an answer.
func BenchmarkOverload(b *testing.B) {
	for _, percent := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(percent, "%"), func(b *testing.B) {
			for b.Loop() {
				runOverload(b, float64(percent)/100*overloadCapacityPerSecond)
			}
		})
	}
}

func runOverload(b *testing.B, requestsPerSecond float64) {
	b.Helper()
	var upstreams []configuration.Upstream
	for range overloadEngines {
		engine, err := standin.NewEngine(standin.EngineConfig{
			Slots: overloadSlots, TokenInterval: 5 * time.Millisecond, FullBatchSlowdown: 1, LoadReportDelay: 500 * time.Millisecond,
		})
		require.NoError(b, err)
		defer engine.Close()
		upstreams = append(upstreams, upstreamAt(engine.Address()))
	}
	dispatcher := NewDispatcher(Config{
		Upstreams: func(string) []configuration.Upstream { return upstreams }, Policy: "better_of_two",
		Limit: upstream.LimitConfig{LatencyTarget: 200 * time.Millisecond},
	})
	var answered, notRun, outcomeUnknown atomic.Int64
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / requestsPerSecond))
	defer ticker.Stop()
	for end := time.Now().Add(overloadDuration); time.Now().Before(end); {
		<-ticker.C
		requests.Go(func() {
			work := modelWork(fmt.Sprint(requestsPerSecond))
			work.Deadline = time.Now().Add(overloadDeadline)
			result, _ := dispatcher.Dispatch(context.Background(), work, &recordingSink{})
			switch result.Outcome {
			case fault.Answered:
				answered.Add(1)
			case fault.NotRun:
				notRun.Add(1)
			default:
				outcomeUnknown.Add(1)
			}
		})
	}
	requests.Wait()
	require.NoError(b, dispatcher.Close(context.Background()))
	b.ReportMetric(requestsPerSecond, "offered/s")
	b.ReportMetric(float64(answered.Load())/overloadDuration.Seconds(), "answered/s")
	b.ReportMetric(float64(notRun.Load())/overloadDuration.Seconds(), "not_run/s")
	b.ReportMetric(float64(outcomeUnknown.Load())/overloadDuration.Seconds(), "in_vain/s")
}
