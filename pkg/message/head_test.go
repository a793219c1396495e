package message_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/message"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// send sends a request to a server that answers with the text, by the transport or by the
// client, and returns the body of the response.
func send(t *testing.T, answer string, byClient bool) (string, error) {
	t.Helper()
	server, err := standin.NewEarlyUpstream(standin.EarlyUpstreamConfig{
		End: standin.CloseAndRead, Answer: func(*http.Request) string { return answer },
	})
	require.NoError(t, err)
	defer server.Close()
	limiter := message.NewLimiter(message.Config{MaxBytes: 1 << 10})
	next := &http.Transport{}
	defer next.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address()+"/", http.NoBody)
	require.NoError(t, err)
	var response *http.Response
	if byClient {
		response, err = (&message.Client{Next: &http.Client{Transport: next}, Limiter: limiter}).Do(request)
	} else {
		response, err = (&message.Transport{Next: next, Limiter: limiter}).RoundTrip(request)
	}
	require.EqualValues(t, 1, server.Requests())
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, response.Body.Close())
	return string(body), err
}

// TestStatusesOfNoFinalAnswerAreRefused guards against a response whose status is none of a
// final answer, and which a reader takes for a success or a refusal.
func TestStatusesOfNoFinalAnswerAreRefused(t *testing.T) {
	for _, byClient := range []bool{false, true} {
		for _, status := range []string{"000", "001", "099", "101"} {
			_, err := send(t, "HTTP/1.1 "+status+" None\r\nContent-Length: 2\r\n\r\n{}", byClient)
			require.Error(t, err, status)
			require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err), "%s: %v", status, err)
			require.NotEmpty(t, fault.RemedyOf(err))
		}
		for _, status := range []string{"200", "226", "404", "529", "600"} {
			body, err := send(t, "HTTP/1.1 "+status+" Final\r\nContent-Length: 2\r\n\r\n{}", byClient)
			require.NoError(t, err)
			require.Equal(t, "{}", body)
		}
	}
}

// TestMalformedFieldNamesAreRefused guards against a response with a field that net/http
// neither knows nor refuses, such as a length whose name has a blank.
func TestMalformedFieldNamesAreRefused(t *testing.T) {
	for _, byClient := range []bool{false, true} {
		for _, line := range []string{"A : b", "A B: c", " A: b", "A\tB: c", "A\x01: b", ": b", "Content-Length : 1", "Transfer-Encoding : chunked"} {
			for _, status := range []string{"200 OK", "503 Full"} {
				_, err := send(t, "HTTP/1.1 "+status+"\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}", byClient)
				require.Error(t, err, "%q", line)
				require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err), "%q: %v", line, err)
			}
		}
		body, err := send(t, "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\nContent-Length: 2\r\n\r\n{}", byClient)
		require.NoError(t, err)
		require.Equal(t, "{}", body)
	}
}
