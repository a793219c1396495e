package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/demo"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// streamTokens is the length of each stream of the benchmark, and streamPace
// the time between its tokens.
const (
	streamTokens = 60
	streamPace   = 50 * time.Millisecond
)

// BenchmarkStreams measures the processor time of a streamed token and the
// memory of an open stream, through one router and straight from the engine.
// Caller, engine and router share the process, so that the difference between
// the two is the router's part.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{100, 400, 1000} {
		for _, via := range []string{"engine", "router"} {
			b.Run(fmt.Sprintf("streams=%d/%s", streams, via), func(b *testing.B) {
				for range b.N {
					measureStreams(b, streams, via == "router")
				}
			})
		}
	}
}

func measureStreams(b *testing.B, streams int, routed bool) {
	b.Helper()
	fleet, err := demo.StartFleet(demo.FleetConfig{
		Zones:   []string{"varnamo"},
		Engines: []standin.EngineConfig{{Name: "engine-1", Slots: streams, TokenInterval: streamPace}},
		Adjust: func(_ int, settings settings.Settings) settings.Settings {
			settings.Queue.MaxLength = streams
			return settings
		},
	})
	require.NoError(b, err)
	defer func() { _ = fleet.Close(context.Background()) }()
	require.NoError(b, fleet.WaitLive(b.Context()))
	require.NoError(b, fleet.Publish(b.Context(), plenty*1000))
	address := fleet.Engines[0].Address()
	if routed {
		address = fleet.Routers[0].CallerAddress()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	memoryBefore, timeBefore := memoryBytes(), processorTime()
	var group sync.WaitGroup
	for number := range streams {
		group.Go(func() {
			time.Sleep(time.Duration(number) * time.Millisecond)
			readStream(b, client, address, number)
		})
	}
	time.Sleep(time.Duration(streams)*time.Millisecond + streamTokens*streamPace/2)
	held := memoryBytes() - memoryBefore
	group.Wait()
	spent := processorTime() - timeBefore
	b.ReportMetric(float64(spent.Nanoseconds())/float64(streams*streamTokens), "cpu-ns/token")
	b.ReportMetric(float64(held)/float64(streams), "B/stream")
}

func readStream(b *testing.B, client *http.Client, address string, number int) {
	b.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"ring %d for a pot"}]}`,
		demo.ModelName, streamTokens, number)
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+demo.CallerToken)
	request.Header.Set("Wisterialb-Profile", demo.ProfileName)
	request.Header.Set("Wisterialb-Attempt", fmt.Sprintf("direct-%d", number))
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Error(response.Status)
	}
	_, _ = io.Copy(io.Discard, response.Body)
}

func memoryBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
