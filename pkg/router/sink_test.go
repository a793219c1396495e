package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

func TestEngineDocumentIsNotAcceptedAsStream(t *testing.T) {
	for _, stream := range []answerSink{
		&streamSink{sinkBase: sinkBase{writer: httptest.NewRecorder()}},
		&collectSink{sinkBase: sinkBase{writer: httptest.NewRecorder()}},
	} {
		sink := &engineSink{stream: stream, errorSink: &plainSink{}}
		err := sink.Head(dispatch.Head{
			Status: http.StatusOK,
			Header: http.Header{headerContentType: {contentTypeJSON}},
		})
		require.True(t, fault.Is(err, fault.UpstreamFailed), "%v", err)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
		require.NoError(t, sink.Head(dispatch.Head{
			Status: http.StatusOK,
			Header: http.Header{headerContentType: {contentTypeSSE + "; charset=utf-8"}},
		}))
	}
}
