package logbook

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until it is released, like a standard output that is not
// read.
type blockedWriter struct{ release chan struct{} }

func (blockedWriter blockedWriter) Write(data []byte) (int, error) {
	<-blockedWriter.release
	return len(data), nil
}

// TestBlockedOutput checks that Log drops lines instead of blocking when the
// writer blocks.
func TestBlockedOutput(t *testing.T) {
	writer := blockedWriter{release: make(chan struct{})}
	logger := New(Config{Writer: writer})
	for range 3 * maxQueuedLines {
		require.NoError(t, logger.Log("event", "request_ended"))
	}
	require.Positive(t, logger.droppedLines)
	close(writer.release)
	logger.Close(time.Minute)
}

// TestSampledEventsAreLimited checks that the lines of a sampled event are limited
// per second, and that the omitted ones are counted.
func TestSampledEventsAreLimited(t *testing.T) {
	var output bytes.Buffer
	now := time.Unix(100, 0)
	logger := New(Config{
		Writer: &output, SampledEvents: []string{"request_refused"}, MaxLinesPerSecond: 5, Now: func() time.Time { return now },
	})
	for range 20 {
		require.NoError(t, logger.Log("event", "request_refused"))
		require.NoError(t, logger.Log("event", "configuration_adopted"))
	}
	logger.Close(time.Minute)
	require.Equal(t, 5, strings.Count(output.String(), "event=request_refused"))
	require.Equal(t, 20, strings.Count(output.String(), "event=configuration_adopted"))
	require.Contains(t, output.String(), "event=lines_left_out of=request_refused lines=15")
}

// TestExplain checks that the lines of a request are found in several logs and
// sorted by prefix.
func TestExplain(t *testing.T) {
	firstLog := "  2.5 vm-b node=vm-b event=request_refused request_id=r1 status=503 err=\"no tokens\"\n"
	secondLog := "  1.5 vm-a node=vm-a event=attempt_ended request_id=r1 upstream=u\n  1.6 vm-a event=attempt_ended request_id=r2\n"
	entries, err := Explain("r1", strings.NewReader(firstLog), strings.NewReader(secondLog))
	require.NoError(t, err)
	require.Len(t, entries, 2)
	require.Equal(t, "attempt_ended", entries[0].Event)
	require.Equal(t, "2.5 vm-b  request_refused\n    status         503\n    err            no tokens", entries[1].Text())
	_, err = Explain("r3", strings.NewReader(firstLog))
	require.Error(t, err)
}
