// Package logbook writes structured logs without blocking requests, and finds the
// log lines of one request.
//
// New returns a go-kit logger. Log formats a line and queues it for a goroutine
// that writes the lines. Lines of frequent events are limited per second. Explain
// finds the lines of a request in collected logs (explain.go).
package logbook

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

const (
	// maxQueuedLines is the capacity of the queue. Further lines are dropped.
	maxQueuedLines = 4096
	// maxQueuedBytes limits the size of the queued lines, and maxValueBytes that of a value
	// in a line. Values may have texts of other processes.
	maxQueuedBytes = 4 << 20
	maxValueBytes  = 16 << 10
	// reportInterval is the time between two reports of omitted and dropped lines.
	reportInterval = time.Second
	// defaultMaxLinesPerSecond is the limit for each sampled event. On the busiest
	// days a router handles a hundred or more requests per second.
	defaultMaxLinesPerSecond = 100
)

// Config configures a Logger.
type Config struct {
	Writer io.Writer
	// SampledEvents are the events of which at most MaxLinesPerSecond lines each
	// are written per second; zero means 100.
	SampledEvents     []string
	MaxLinesPerSecond int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Logger is a go-kit logger whose Log never waits for the writer.
type Logger struct {
	config    Config
	queue     chan []byte
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	// queuedBytes is the size of the queued lines.
	queuedBytes atomic.Int64

	mutex sync.Mutex
	// linesThisSecond counts the accepted lines of each sampled event since
	// currentSecond, in Unix seconds, began.
	linesThisSecond map[string]int
	currentSecond   int64
	// omittedLines counts the lines of each sampled event above its limit since the
	// last report, droppedLines the lines that a full queue or a failed write lost.
	omittedLines map[string]int
	droppedLines int
}

var _ log.Logger = (*Logger)(nil)

// New returns a logger and starts the goroutine that writes its lines. Close
// stops it.
func New(config Config) *Logger {
	if config.MaxLinesPerSecond <= 0 {
		config.MaxLinesPerSecond = defaultMaxLinesPerSecond
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	logger := &Logger{
		config: config, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}),
		linesThisSecond: make(map[string]int), omittedLines: make(map[string]int),
	}
	for _, event := range config.SampledEvents {
		logger.linesThisSecond[event] = 0
	}
	go func() {
		defer close(logger.done)
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			select {
			case line := <-logger.queue:
				logger.writeQueuedLine(line)
			case <-ticker.C:
				logger.reportOmitted()
			case <-logger.closing:
				logger.writeQueued()
				return
			}
		}
	}()
	return logger
}

// Log formats a line and queues it. If the queue is full or the event has reached
// its limit for this second, the line is only counted, for the next report. Long values
// are cut.
// The errors are those of the logfmt encoder.
func (logger *Logger) Log(keyvals ...any) error {
	if !logger.allow(eventOf(keyvals)) {
		return nil
	}
	var line bytes.Buffer
	if err := log.NewLogfmtLogger(&line).Log(keyvals...); err != nil {
		return err
	}
	if line.Len() > maxValueBytes {
		line = bytes.Buffer{}
		if err := log.NewLogfmtLogger(&line).Log(cutValues(keyvals)...); err != nil {
			return err
		}
	}
	size := int64(line.Len())
	if logger.queuedBytes.Add(size) <= maxQueuedBytes {
		select {
		case logger.queue <- line.Bytes():
			return nil
		default:
		}
	}
	logger.queuedBytes.Add(-size)
	logger.mutex.Lock()
	logger.droppedLines++
	logger.mutex.Unlock()
	return nil
}

// cutValues returns the pairs with texts and errors of at most maxValueBytes.
func cutValues(keyvals []any) []any {
	cut := keyvals
	for i := 1; i < len(keyvals); i += 2 {
		text := ""
		switch value := keyvals[i].(type) {
		case string:
			text = value
		case error:
			if pointer := reflect.ValueOf(value); pointer.Kind() != reflect.Pointer || !pointer.IsNil() {
				text = value.Error()
			}
		}
		if len(text) <= maxValueBytes {
			continue
		}
		if &cut[0] == &keyvals[0] {
			cut = slices.Clone(keyvals)
		}
		cut[i] = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
	}
	return cut
}

// eventOf returns the value of the key "event", or the empty string.
func eventOf(keyvals []any) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "event" {
			return fmt.Sprint(keyvals[i+1])
		}
	}
	return ""
}

// allow reports whether the event is below its limit for this second, and counts
// the line. Events that are not sampled have no limit.
func (logger *Logger) allow(event string) bool {
	logger.mutex.Lock()
	defer logger.mutex.Unlock()
	count, sampled := logger.linesThisSecond[event]
	if !sampled {
		return true
	}
	if second := logger.config.Now().Unix(); second != logger.currentSecond {
		logger.currentSecond = second
		for name := range logger.linesThisSecond {
			logger.linesThisSecond[name] = 0
		}
		count = 0
	}
	if count >= logger.config.MaxLinesPerSecond {
		logger.omittedLines[event]++
		return false
	}
	logger.linesThisSecond[event] = count + 1
	return true
}

func (logger *Logger) writeQueuedLine(line []byte) {
	logger.writeLine(line)
	logger.queuedBytes.Add(-int64(len(line)))
}

// writeLine writes the line. A line that can't be written counts as dropped.
func (logger *Logger) writeLine(line []byte) {
	if _, err := logger.config.Writer.Write(line); err != nil {
		logger.mutex.Lock()
		logger.droppedLines++
		logger.mutex.Unlock()
	}
}

// reportOmitted writes the numbers of omitted and dropped lines since the last
// report.
func (logger *Logger) reportOmitted() {
	logger.mutex.Lock()
	omittedLines, droppedLines := logger.omittedLines, logger.droppedLines
	logger.omittedLines, logger.droppedLines = make(map[string]int), 0
	logger.mutex.Unlock()
	for event, count := range omittedLines {
		logger.writeLine(fmt.Appendf(nil, "event=lines_left_out of=%s lines=%d\n", event, count))
	}
	if droppedLines > 0 {
		logger.writeLine(fmt.Appendf(nil, "event=lines_dropped lines=%d\n", droppedLines))
	}
}

// writeQueued writes the queued lines and a last report.
func (logger *Logger) writeQueued() {
	for {
		select {
		case line := <-logger.queue:
			logger.writeQueuedLine(line)
		default:
			logger.reportOmitted()
			return
		}
	}
}

// Close writes the queued lines and stops the logger. It waits at most the
// timeout, as the writer may be blocked.
func (logger *Logger) Close(timeout time.Duration) {
	logger.closeOnce.Do(func() { close(logger.closing) })
	select {
	case <-logger.done:
	case <-time.After(timeout):
	}
}
