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
	// overloadCapacity is about what the engines answer at their fullest, in
	// requests a second: slots by tokens of 10 ms each.
	overloadCapacity = overloadEngines * overloadSlots * 1000 / ((maxTokens + 1) * 10)
)

// BenchmarkOverload offers multiples of what two engines can answer and reports
// what is answered within its deadline, and what was started in vain.
func BenchmarkOverload(b *testing.B) {
	for _, percent := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(percent, "%"), func(b *testing.B) {
			for b.Loop() {
				overload(b, float64(percent)/100*overloadCapacity)
			}
		})
	}
}

func overload(b *testing.B, rate float64) {
	b.Helper()
	var list []configuration.Upstream
	for range overloadEngines {
		engine, err := standin.NewEngine(standin.EngineConfig{
			Slots: overloadSlots, TokenInterval: 5 * time.Millisecond, FullGrowth: 1, LoadLag: 500 * time.Millisecond,
		})
		require.NoError(b, err)
		defer engine.Close()
		list = append(list, upstreamAt(engine.Address()))
	}
	dispatcher := NewDispatcher(Config{
		Upstreams: func(string) []configuration.Upstream { return list }, Policy: "better_of_two",
		Limit: upstream.LimitConfig{LatencyTarget: 200 * time.Millisecond},
	})
	var answered, notRun, vain atomic.Int64
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for end := time.Now().Add(overloadDuration); time.Now().Before(end); {
		<-ticker.C
		group.Go(func() {
			work := modelWork(fmt.Sprint(rate))
			work.Deadline = time.Now().Add(overloadDeadline)
			result, _ := dispatcher.Dispatch(context.Background(), work, &collected{})
			switch result.Outcome {
			case fault.Answered:
				answered.Add(1)
			case fault.NotRun:
				notRun.Add(1)
			default:
				vain.Add(1)
			}
		})
	}
	group.Wait()
	require.NoError(b, dispatcher.Close(context.Background()))
	b.ReportMetric(rate, "offered/s")
	b.ReportMetric(float64(answered.Load())/overloadDuration.Seconds(), "answered/s")
	b.ReportMetric(float64(notRun.Load())/overloadDuration.Seconds(), "not_run/s")
	b.ReportMetric(float64(vain.Load())/overloadDuration.Seconds(), "in_vain/s")
}
