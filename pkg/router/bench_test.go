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

// streamTokens is the number of tokens of each benchmark stream, and tokenInterval
// the time between two tokens.
const (
	streamTokens  = 60
	tokenInterval = 50 * time.Millisecond
)

// BenchmarkStreams measures the CPU time per streamed token and the memory per open
// stream, once through a router and once directly from the engine. Caller, engine
// and router run in the same process, so the difference between the two results is
// the cost of the router.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{100, 400, 1000} {
		for _, target := range []string{"engine", "router"} {
			b.Run(fmt.Sprintf("streams=%d/%s", streams, target), func(b *testing.B) {
				for range b.N {
					measureStreams(b, streams, target == "router")
				}
			})
		}
	}
}

func measureStreams(b *testing.B, streams int, throughRouter bool) {
	b.Helper()
	fleet, err := demo.StartFleet(demo.FleetConfig{
		Zones:   []string{"varnamo"},
		Engines: []standin.EngineConfig{{Name: "engine-1", Slots: streams, TokenInterval: tokenInterval}},
		Adjust: func(_ int, settings settings.Settings) settings.Settings {
			settings.Queue.MaxLength = streams
			return settings
		},
	})
	require.NoError(b, err)
	defer func() { _ = fleet.Close(context.Background()) }()
	require.NoError(b, fleet.WaitLive(b.Context()))
	require.NoError(b, fleet.Publish(b.Context(), ampleTokens*1000))
	address := fleet.Engines[0].Address()
	if throughRouter {
		address = fleet.Routers[0].CallerAddress()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	memoryBefore, cpuTimeBefore := memoryBytes(), cpuTime()
	var group sync.WaitGroup
	for number := range streams {
		group.Go(func() {
			time.Sleep(time.Duration(number) * time.Millisecond)
			readStream(b, client, address, number)
		})
	}
	time.Sleep(time.Duration(streams)*time.Millisecond + streamTokens*tokenInterval/2)
	memoryGrowth := memoryBytes() - memoryBefore
	group.Wait()
	cpuTimeUsed := cpuTime() - cpuTimeBefore
	b.ReportMetric(float64(cpuTimeUsed.Nanoseconds())/float64(streams*streamTokens), "cpu-ns/token")
	b.ReportMetric(float64(memoryGrowth)/float64(streams), "B/stream")
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

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
