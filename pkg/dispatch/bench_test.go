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

// rawEngine is an engine that costs next to nothing, so that a measurement shows
// the dispatcher's share: it writes prepared bytes to plain connections.
type rawEngine struct {
	listener net.Listener
	// events is the number of events of an answer; a negative one leaves the
	// stream open behind the first event.
	events int
	mutex  sync.Mutex
	held   []net.Conn
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
				engine.hold(conn)
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
	for _, conn := range engine.held {
		_ = conn.Close()
	}
}

// begin reads a request and writes the head of its answer.
func (engine *rawEngine) begin(reader *bufio.Reader, conn net.Conn) bool {
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

func (engine *rawEngine) hold(conn net.Conn) {
	if engine.begin(bufio.NewReaderSize(conn, 512), conn) {
		_, _ = conn.Write(event(1))
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.held = append(engine.held, conn)
}

func (engine *rawEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	events := make([][]byte, engine.events)
	for index := range events {
		events[index] = event(index + 1)
	}
	for engine.begin(reader, conn) {
		for _, data := range events {
			if _, err := conn.Write(data); err != nil {
				return
			}
		}
		_, _ = conn.Write(append(chunk("id: "+strconv.Itoa(engine.events+1)+
			"\ndata: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n"), "0\r\n\r\n"...))
	}
}

// counting is a sink that only counts.
type counting struct {
	first func()
	seen  int
}

func (counting *counting) Head(Head) error { return nil }

func (counting *counting) Event(Event) error {
	counting.seen++
	if counting.seen == 1 && counting.first != nil {
		counting.first()
	}
	return nil
}

func benchmarkDispatcher(engine *rawEngine) *UpstreamDispatcher {
	list := []configuration.Upstream{upstreamAt(engine.listener.Addr().String())}
	const room = 10000
	return NewDispatcher(Config{
		Upstreams: func(string) []configuration.Upstream { return list }, PollInterval: time.Hour,
		Limit:    upstream.LimitConfig{Initial: room, Min: room, Max: room},
		Exchange: exchange.ClientConfig{FirstPartTimeout: time.Hour, GapTimeout: time.Hour, SuspectTimeout: time.Hour},
	})
}

// cpu returns the processor time that the process has used.
func cpu(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest is a request whose answer has one token, and BenchmarkToken a
// token of long answers that are written one by one. Both include the engine's
// part of the processor time.
func BenchmarkRequest(b *testing.B) { benchmarkStreams(b, 1) }

func BenchmarkToken(b *testing.B) { benchmarkStreams(b, 2000) }

func benchmarkStreams(b *testing.B, events int) {
	b.Helper()
	engine := startRawEngine(b, events)
	defer engine.close()
	dispatcher := benchmarkDispatcher(engine)
	work := modelWork("bench")
	work.MaxTokens = 1 << 30
	b.ReportAllocs()
	begun := cpu(b)
	b.RunParallel(func(parallel *testing.PB) {
		for more := parallel.Next(); more; {
			if _, err := dispatcher.Dispatch(context.Background(), work, &counting{}); err != nil {
				b.Error(err)
				return
			}
			for range events {
				more = parallel.Next()
			}
		}
	})
	b.ReportMetric(float64((cpu(b)-begun).Nanoseconds())/float64(b.N), "cpu-ns/op")
	require.NoError(b, dispatcher.Close(context.Background()))
}

// BenchmarkOpenStreams is the memory of streams that are open at once, with the
// engine's end of their connections.
func BenchmarkOpenStreams(b *testing.B) {
	for _, streams := range []int{1000, 2500, 5000} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			for b.Loop() {
				openStreams(b, streams)
			}
		})
	}
}

// openingAtOnce keeps the engine's queue of new connections short.
const openingAtOnce = 100

func openStreams(b *testing.B, streams int) {
	b.Helper()
	engine := startRawEngine(b, -1)
	dispatcher := benchmarkDispatcher(engine)
	before, goroutines := memory(), runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(context.Background())
	opening := make(chan struct{}, openingAtOnce)
	var opened, ended sync.WaitGroup
	opened.Add(streams)
	for range streams {
		opening <- struct{}{}
		ended.Go(func() {
			first := sync.OnceFunc(func() {
				<-opening
				opened.Done()
			})
			_, _ = dispatcher.Dispatch(ctx, modelWork("bench"), &counting{first: first})
			first()
		})
	}
	opened.Wait()
	b.ReportMetric(float64(memory()-before)/float64(streams), "bytes/stream")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(streams), "goroutines/stream")
	engine.close()
	cancel()
	ended.Wait()
	require.NoError(b, dispatcher.Close(context.Background()))
}

// memory returns the bytes of heap and stacks in use after a collection.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
