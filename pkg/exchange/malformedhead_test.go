package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/memory"
)

// malformedFields are lines whose field names are no tokens, with a line end.
var malformedFields = map[string]string{
	"blank behind the name":           "A : b\r\n",
	"blanks behind the name":          "A  : b\r\n",
	"blank inside the name":           "A B: c\r\n",
	"blank before the name":           " A: b\r\n",
	"tab before the name":             "\tA: b\r\n",
	"tab behind the name":             "A\t: b\r\n",
	"blanks only":                     "  \r\n",
	"blanks as the name":              "  : b\r\n",
	"no name":                         ": b\r\n",
	"no colon":                        "A\r\n",
	"control byte":                    "A\x01: b\r\n",
	"null byte":                       "A\x00B: b\r\n",
	"delete":                          "A\x7f: b\r\n",
	"carriage return in the name":     "A\rB: b\r\n",
	"carriage return before the name": "\rA: b\r\n",
	"byte above ASCII":                "A\xe9: b\r\n",
	"separator":                       "A(b): c\r\n",
	"length with a blank":             "Content-Length : 2\r\n",
	"length with a blank inside":      "Content Length: 2\r\n",
	"length behind a blank":           " Content-Length: 2\r\n",
	"chunks with a blank":             "Transfer-Encoding : chunked\r\n",
	"chunks behind a blank":           " Transfer-Encoding: chunked\r\n",
}

// TestMalformedHeadsAreNoAnswers guards against answers with a line in the head that is no
// field: the line was passed on, or the body that was read isn't the upstream's, since the
// line should have said where that ends.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const body = "4\r\nbody\r\n0\r\n\r\n"
	for name, line := range malformedFields {
		for place, head := range map[string]string{
			"first":             "HTTP/1.1 200 OK\r\n" + line + echoHeader + ": 1\r\nContent-Length: %d\r\n\r\n",
			"between":           "HTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\n" + line + "Content-Length: %d\r\n\r\n",
			"last":              "HTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\nContent-Length: %d\r\n" + line + "\r\n",
			"without a length":  "HTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\n" + line + "\r\n",
			"in a stream":       "HTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\nContent-Type: text/event-stream\r\n" + line + "\r\n",
			"in a refusal":      "HTTP/1.1 503 Full\r\n" + echoHeader + ": 1\r\n" + line + "Content-Length: %d\r\n\r\n",
			"in an interim one": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\nContent-Length: %d\r\n\r\n",
			"behind interim":    "HTTP/1.1  103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\n" + line + "Content-Length: %d\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%s, %s", name, place), func(t *testing.T) {
				if strings.Contains(head, "%d") {
					head = fmt.Sprintf(head, len(body))
				}
				var requests atomic.Int64
				client := startHeadServer(t, func(connection net.Conn, _ string) {
					requests.Add(1)
					_, _ = io.WriteString(connection, head+body)
				})
				_, got, err := exchangeAll(t, client, passedThrough("1"))
				require.EqualValues(t, 1, requests.Load())
				require.ErrorIs(t, err, errHeadMalformed, "%q", got)
				require.True(t, ErrorOf(err).MayHaveStarted)
			})
		}
	}
}

// TestMalformedHeadsOfControlAnswers guards against malformed answers that are believed if
// they answer another request than an attempt, on a new connection or on a kept one.
func TestMalformedHeadsOfControlAnswers(t *testing.T) {
	for name, line := range malformedFields {
		t.Run(name, func(t *testing.T) {
			var broken atomic.Bool
			_, client := startRawServer(t, func(_, _ int, request *http.Request) string {
				body := `{"attempt":"1","state":"finished","running":1}`
				head := "HTTP/1.1 200 OK\r\n"
				if broken.Load() {
					head += "Wisterialb-Leaving: 1\r\n" + line
				}
				return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			})
			calls := map[string]func(ctx context.Context) error{
				"report": func(ctx context.Context) error { _, err := client.LoadReport(ctx); return err },
				"record": func(ctx context.Context) error { _, err := client.AttemptRecord(ctx, "1"); return err },
				"cancel": func(ctx context.Context) error { _, err := client.Cancel(ctx, "1"); return err },
				"health": func(ctx context.Context) error { _, err := client.CheckHealth(ctx); return err },
			}
			for what, call := range calls {
				require.NoError(t, call(t.Context()), what)
			}
			broken.Store(true)
			for what, call := range calls {
				require.Error(t, call(t.Context()), what)
			}
			leaving, _ := client.CheckHealth(t.Context())
			require.False(t, leaving)
		})
	}
}

// TestMalformedHeadOfResumedStream guards against a resumed stream with a malformed head.
func TestMalformedHeadOfResumedStream(t *testing.T) {
	for name, line := range malformedFields {
		t.Run(name, func(t *testing.T) {
			server, client := startRawServer(t, func(int, int, *http.Request) string {
				return "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": 1\r\nContent-Type: text/event-stream\r\n" + line + "\r\nid: 2\ndata: b\n\ndata: [DONE]\n\n"
			})
			answer, err := client.Resume(t.Context(), "1", 1, nil)
			if err == nil {
				answer.Close()
			}
			require.EqualValues(t, 1, server.connections.Load())
			require.Error(t, err)
		})
	}
}

// TestChunksOfHTTP10AreNoAnswer guards against an answer of HTTP/1.0 whose body holds the
// sizes of the chunks that it announces. Other answers of HTTP/1.0 are read.
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) {
	for fields, isSound := range map[string]bool{
		"Transfer-Encoding: chunked\r\n":                      false,
		"transfer-encoding:chunked\r\nContent-Length: 14\r\n": false,
		"Content-Length: 14\r\nTRANSFER-ENCODING: gzip\r\n":   false,
		"Content-Length: 14\r\n":                              true,
		"":                                                    true,
		"Transfer-Encodings: chunked\r\nTransfer-Encodin: a\r\n": true,
	} {
		t.Run(fields, func(t *testing.T) {
			const body = "4\r\nbody\r\n0\r\n\r\n"
			var requests atomic.Int64
			client := startHeadServer(t, func(connection net.Conn, _ string) {
				requests.Add(1)
				_, _ = io.WriteString(connection, "HTTP/1.0 200 OK\r\n"+echoHeader+": 1\r\n"+fields+"\r\n"+body)
			})
			_, got, err := exchangeAll(t, client, passedThrough("1"))
			require.EqualValues(t, 1, requests.Load())
			if isSound {
				require.NoError(t, err)
				require.Equal(t, body, got)
			} else {
				require.ErrorIs(t, err, errHeadMalformed, "%q", got)
			}
		})
	}
}

// TestSoundFieldNamesAreRead guards against heads that are refused though their names are
// tokens, and against fields that are missed when a head arrives in pieces.
func TestSoundFieldNamesAreRead(t *testing.T) {
	const head = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK with: a colon\r\n" + HeaderAttempt + ": sound\r\n" +
		"!#$%&'*+-.^_`|~09azAZ: \t a : b \xe9 \t\r\nEmpty:\r\nLine-Feed:x\nContent-Length: 4\r\n\r\n"
	for _, pieceBytes := range []int{1, 7, len(head)} {
		t.Run(fmt.Sprint(pieceBytes), func(t *testing.T) {
			client := startHeadServer(t, func(connection net.Conn, _ string) {
				for rest := head; len(rest) > 0; {
					piece := min(pieceBytes, len(rest))
					if _, err := io.WriteString(connection, rest[:piece]); err != nil {
						return
					}
					rest = rest[piece:]
				}
				_, _ = io.WriteString(connection, "body")
			})
			limiter := memory.NewLimiter(memory.LimiterConfig{Max: 8 << 20, Largest: 4 << 20})
			request := modelRequest("sound")
			request.Share = limiter.NewShare(memory.ShareConfig{Kind: "desk", Owner: "desk-1"})
			defer request.Share.Release()
			answer, err := client.Send(t.Context(), request)
			require.NoError(t, err)
			defer answer.Close()
			require.Equal(t, "a : b \xe9", answer.Header.Get("!#$%&'*+-.^_`|~09azAZ"))
			require.Equal(t, "x", answer.Header.Get("Line-Feed"))
			parts, err := readAll(answer)
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, "body", strings.Join(parts, ""))
		})
	}
}

// TestStatusOfNoFinalAnswerIsNoSuccess guards against a resumed stream, a record, a report
// or a healthy upstream that is read from an answer with a status of no final one.
func TestStatusOfNoFinalAnswerIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			server, client := startRawServer(t, func(_, _ int, request *http.Request) string {
				fields, body := "", `{"attempt":"1","state":"finished","running":1}`
				if strings.HasSuffix(request.URL.Path, "/events") {
					fields, body = HeaderAttempt+": 1\r\nContent-Type: text/event-stream\r\n", "id: 2\ndata: b\n\ndata: [DONE]\n\n"
				}
				return fmt.Sprintf("HTTP/1.1 %s None\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
			})
			for what, call := range map[string]func(ctx context.Context) error{
				"report": func(ctx context.Context) error { _, err := client.LoadReport(ctx); return err },
				"record": func(ctx context.Context) error { _, err := client.AttemptRecord(ctx, "1"); return err },
				"cancel": func(ctx context.Context) error { _, err := client.Cancel(ctx, "1"); return err },
				"health": func(ctx context.Context) error { _, err := client.CheckHealth(ctx); return err },
				"resume": func(ctx context.Context) error {
					answer, err := client.Resume(ctx, "1", 1, nil)
					if err == nil {
						answer.Close()
					}
					return err
				},
			} {
				before := server.connections.Load()
				require.Error(t, call(t.Context()), what)
				require.Greater(t, server.connections.Load(), before)
			}
		})
	}
}
