package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// rawEngine is an engine with minimal overhead, so that measurements show the cost
// of the dispatcher. It writes prepared bytes to TCP connections.
type rawEngine struct {
	listener net.Listener
	// events is the number of events of an answer. If it is negative, the engine sends
	// one event and keeps the stream open.
	events    int
	mutex     sync.Mutex
	openConns []net.Conn
}

const rawEvent = `{"id":"chatcmpl-1","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":" ring"}}]}`

func startRawEngine(b *testing.B, events int) *rawEngine {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	engine := &rawEngine{listener: listener, events: events}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if events < 0 {
				engine.holdOpen(conn)
				continue
			}
			go engine.serve(conn)
		}
	}()
	return engine
}

func (engine *rawEngine) close() {
	_ = engine.listener.Close()
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for _, conn := range engine.openConns {
		_ = conn.Close()
	}
}

// startAnswer reads a request and writes the head of its answer. It reports false
// if the connection has failed.
func (engine *rawEngine) startAnswer(reader *bufio.Reader, conn net.Conn) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWisterialb-Attempt: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		request.Header.Get("Wisterialb-Attempt"))
	return err == nil
}

func chunk(data string) []byte {
	return []byte(strconv.FormatInt(int64(len(data)), 16) + "\r\n" + data + "\r\n")
}

func event(id int) []byte {
	return chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, rawEvent))
}

func (engine *rawEngine) holdOpen(conn net.Conn) {
	if engine.startAnswer(bufio.NewReaderSize(conn, 512), conn) {
		_, _ = conn.Write(event(1))
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.openConns = append(engine.openConns, conn)
}

func (engine *rawEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	events := make([][]byte, engine.events)
	for index := range events {
		events[index] = event(index + 1)
	}
	for engine.startAnswer(reader, conn) {
		for _, data := range events {
			if _, err := conn.Write(data); err != nil {
				return
			}
		}
		_, _ = conn.Write(append(chunk("id: "+strconv.Itoa(engine.events+1)+
			"\ndata: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n"), "0\r\n\r\n"...))
	}
}

// countingSink counts events and discards them.
type countingSink struct {
	onFirstEvent func()
	count        int
}

func (countingSink *countingSink) Head(Head) error { return nil }

func (countingSink *countingSink) Event(Event) error {
	countingSink.count++
	if countingSink.count == 1 && countingSink.onFirstEvent != nil {
		countingSink.onFirstEvent()
	}
	return nil
}

func benchmarkDispatcher(engine *rawEngine) *UpstreamDispatcher {
	upstreams := []configuration.Upstream{upstreamAt(engine.listener.Addr().String())}
	const limit = 10000
	return NewDispatcher(Config{
		Upstreams: func(string) []configuration.Upstream { return upstreams }, PollInterval: time.Hour,
		Limit:    upstream.LimitConfig{Initial: limit, Min: limit, Max: limit},
		Exchange: exchange.ClientConfig{FirstPartTimeout: time.Hour, GapTimeout: time.Hour, SuspectTimeout: time.Hour},
	})
}

// processCPUTime returns the CPU time that the process has used.
func processCPUTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest measures a request whose answer has one token. BenchmarkToken
// measures one token of a long answer whose events are written one by one. Both
// include the CPU time of the engine.
func BenchmarkRequest(b *testing.B) { benchmarkStreams(b, 1) }

func BenchmarkToken(b *testing.B) { benchmarkStreams(b, 2000) }

func benchmarkStreams(b *testing.B, eventCount int) {
	b.Helper()
	engine := startRawEngine(b, eventCount)
	defer engine.close()
	dispatcher := benchmarkDispatcher(engine)
	work := modelWork("bench")
	work.ReservedTokens = 1 << 30
	b.ReportAllocs()
	startCPUTime := processCPUTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for more := pb.Next(); more; {
			if _, err := dispatcher.Dispatch(context.Background(), work, &countingSink{}); err != nil {
				b.Error(err)
				return
			}
			for range eventCount {
				more = pb.Next()
			}
		}
	})
	b.ReportMetric(float64((processCPUTime(b)-startCPUTime).Nanoseconds())/float64(b.N), "cpu-ns/op")
	require.NoError(b, dispatcher.Close(context.Background()))
}

// BenchmarkOpenStreams measures the memory and goroutines of concurrently open
// streams, including the engine's side of their connections.
func BenchmarkOpenStreams(b *testing.B) {
	for _, streams := range []int{1000, 2500, 5000} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			for b.Loop() {
				openStreams(b, streams)
			}
		})
	}
}

// maxConcurrentOpens limits the pending connections in the engine's accept queue.
const maxConcurrentOpens = 100

func openStreams(b *testing.B, streamCount int) {
	b.Helper()
	engine := startRawEngine(b, -1)
	dispatcher := benchmarkDispatcher(engine)
	memoryBefore, goroutinesBefore := memoryInUse(), runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(context.Background())
	openSlots := make(chan struct{}, maxConcurrentOpens)
	var firstEventReceived, dispatchReturned sync.WaitGroup
	firstEventReceived.Add(streamCount)
	for range streamCount {
		openSlots <- struct{}{}
		dispatchReturned.Go(func() {
			signalOpened := sync.OnceFunc(func() {
				<-openSlots
				firstEventReceived.Done()
			})
			_, _ = dispatcher.Dispatch(ctx, modelWork("bench"), &countingSink{onFirstEvent: signalOpened})
			signalOpened()
		})
	}
	firstEventReceived.Wait()
	b.ReportMetric(float64(memoryInUse()-memoryBefore)/float64(streamCount), "bytes/stream")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore)/float64(streamCount), "goroutines/stream")
	engine.close()
	cancel()
	dispatchReturned.Wait()
	require.NoError(b, dispatcher.Close(context.Background()))
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
