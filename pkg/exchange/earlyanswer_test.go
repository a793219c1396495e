package exchange

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const (
	// uploadBytes is the size of a request that is still being sent when its early answer
	// ends, and blockingUploadBytes is more than the sockets buffer.
	uploadBytes         = 256 << 10
	blockingUploadBytes = 16 << 20
	plainPart           = "part"
	streamPart          = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// earlyAnswers are answers without a length, which end with their connection.
var earlyAnswers = map[string]struct{ head, body string }{
	"body":   {"", plainPart},
	"stream": {"Content-Type: text/event-stream\r\n", streamPart},
}

// startEarlyUpstream starts an upstream that answers each request early, and its client.
func startEarlyUpstream(t *testing.T, order standin.ResetOrder, end standin.ConnectionEnd, head, body string) (*standin.EarlyUpstream, *Client) {
	t.Helper()
	upstream, err := standin.NewEarlyUpstream(standin.EarlyUpstreamConfig{End: end, Answer: func(request *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", echoHeader, request.Header.Get(echoHeader), head, body)
	}})
	require.NoError(t, err)
	config := ClientConfig{Address: upstream.Address(), FirstPartTimeout: patientTimeout, GapTimeout: patientTimeout}
	if end != standin.CloseUnread { // a slow upload would not block
		config.Dial = (&standin.UploadDialer{Order: order}).DialContext
	}
	client := NewClient(config)
	t.Cleanup(func() {
		client.Close()
		upstream.Close()
	})
	return upstream, client
}

// TestResetDuringUploadIsNoEnd guards against a part of an answer without a length that is
// taken for the whole, because the reset that cut it off was reported to the write of the
// request, and to the read only the end of the connection.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, end := range []standin.ConnectionEnd{standin.Reset, standin.CloseThenReset} {
		for _, order := range []standin.ResetOrder{standin.AnyOrder, standin.WriteThenRead, standin.ReadDuringWrite} {
			if order == standin.AnyOrder && end != standin.Reset {
				continue // the reset may come too late to be waited for
			}
			for name, form := range earlyAnswers {
				t.Run(fmt.Sprintf("%s, %s, %s", end, order, name), func(t *testing.T) {
					upstream, client := startEarlyUpstream(t, order, end, form.head, form.body)
					request := passedThrough("upload")
					request.Body = make([]byte, uploadBytes)
					_, body, err := exchangeAll(t, client, request)
					require.EqualValues(t, 1, upstream.Requests())
					require.Error(t, err, "whole: %q", body)
					require.True(t, ErrorOf(err).MayHaveStarted)
				})
			}
		}
	}
}

// TestSoundEarlyAnswersArriveWhole guards against an answer that is refused because it
// ended, with its connection, while the request was still being sent.
func TestSoundEarlyAnswersArriveWhole(t *testing.T) {
	for end, size := range map[standin.ConnectionEnd]int{standin.CloseAndRead: uploadBytes, standin.CloseUnread: blockingUploadBytes} {
		for name, form := range earlyAnswers {
			t.Run(fmt.Sprintf("%s, %s", end, name), func(t *testing.T) {
				upstream, client := startEarlyUpstream(t, standin.AnyOrder, end, form.head, form.body)
				request := passedThrough("upload")
				request.Body = make([]byte, size)
				_, body, err := exchangeAll(t, client, request)
				require.EqualValues(t, 1, upstream.Requests())
				require.NoError(t, err)
				require.Equal(t, form.body, body)
			})
		}
	}
}

// TestResetBehindTheEndTakesNothing guards against an answer that is refused though its
// request had arrived and it had ended, because its connection was reset afterwards.
func TestResetBehindTheEndTakesNothing(t *testing.T) {
	for name, form := range earlyAnswers {
		t.Run(name, func(t *testing.T) {
			client := startHeadServer(t, func(connection net.Conn, _ string) {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: whole\r\n%s\r\n%s", echoHeader, form.head, form.body)
				_ = connection.(*net.TCPConn).CloseWrite()
				_ = connection.(*net.TCPConn).SetLinger(0)
			})
			request := passedThrough("whole")
			request.Body = make([]byte, uploadBytes)
			_, body, err := exchangeAll(t, client, request)
			require.NoError(t, err)
			require.Equal(t, form.body, body)
		})
	}
}
