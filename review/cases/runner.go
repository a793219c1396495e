package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// runnerCommand is the argument with which this program runs as one runner.
const runnerCommand = "runner"

// whole is the number of events of a whole answer of a runner process.
const whole = 40

// pieceGap is the time between two events.
const pieceGap = 50 * time.Millisecond

const (
	// plainBytes is the length of a whole answer that is no stream. It is sent in
	// plainPieces, plainGap apart.
	plainBytes  = 800
	plainPieces = 4
	plainGap    = 100 * time.Millisecond
	// plainPrefix begins the paths of the requests whose answers are no streams.
	plainPrefix = "/desk/"
)

// runRunner serves requests at an address until the process is killed. Its answers
// have no length and end with their channels, or come in chunks. It prints what it runs.
func runRunner(arguments []string) {
	if len(arguments) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases runner ID ADDRESS UNFRAMED")
		os.Exit(exitNotRun)
	}
	id, address, unframed := arguments[0], arguments[1], arguments[2] == "true"
	handler := http.NewServeMux()
	handler.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Wisterialb-Instance-Id", id)
	})
	handler.HandleFunc("GET /v1/report", func(writer http.ResponseWriter, _ *http.Request) {
		report := map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"busy": false, "seq": 1, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 357587, "kvHandles": 0,
		}
		if err := json.NewEncoder(writer).Encode(report); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	handler.HandleFunc("POST /", func(writer http.ResponseWriter, request *http.Request) { serveRequest(id, unframed, writer, request) })
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Minute}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(exitNotRun)
}

func serveRequest(id string, unframed bool, writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("Wisterialb-Attempt-Id")
	if expected := request.Header.Get("Wisterialb-Expect-Instance"); expected != "" && expected != id {
		writer.Header().Set("Wisterialb-Instance-Id", id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	fmt.Fprintf(os.Stdout, "%s runs %s from event %d\n", id, attempt, first)
	if unframed {
		connection, buffer, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		writeAnswer(unframedAnswer{buffer.Writer}, request.URL.Path, id, attempt, first)
	} else {
		writeAnswer(chunkedAnswer{writer}, request.URL.Path, id, attempt, first)
	}
	fmt.Fprintf(os.Stdout, "%s has ended %s\n", id, attempt)
}

// answerWriter writes an answer in one of the framings.
type answerWriter interface {
	io.Writer
	// head writes the status and header.
	head(header map[string]string)
	// Flush sends what was written.
	Flush() error
}

// unframedAnswer has no length and ends with its channel.
type unframedAnswer struct{ *bufio.Writer }

func (answer unframedAnswer) head(header map[string]string) {
	fmt.Fprint(answer, "HTTP/1.1 200 OK\r\n")
	for name, value := range header {
		fmt.Fprintf(answer, "%s: %s\r\n", name, value)
	}
	fmt.Fprint(answer, "\r\n")
}

// chunkedAnswer comes in chunks.
type chunkedAnswer struct{ http.ResponseWriter }

func (answer chunkedAnswer) head(header map[string]string) {
	for name, value := range header {
		answer.Header().Set(name, value)
	}
}

func (answer chunkedAnswer) Flush() error {
	return http.NewResponseController(answer.ResponseWriter).Flush()
}

// writeAnswer writes a body of plainBytes, or a stream with the events from the first to
// the last.
func writeAnswer(writer answerWriter, path, id, attempt string, first int) {
	header := map[string]string{
		"Content-Type": "text/plain", "Wisterialb-Attempt-Id": attempt, "Wisterialb-Server-Seal": "seal-of-" + id, "Wisterialb-Server-Load": "1,0,64",
	}
	if strings.HasPrefix(path, plainPrefix) {
		writer.head(header)
		writeBody(writer, attempt)
		return
	}
	header["Content-Type"] = "text/event-stream"
	writer.head(header)
	writeEvents(writer, attempt, first)
}

func writeBody(writer answerWriter, attempt string) {
	for piece := range plainPieces {
		fmt.Fprintf(writer, "%-*s\n", plainBytes/plainPieces-1, fmt.Sprintf("piece %d to %s", piece+1, attempt))
		if err := writer.Flush(); err != nil {
			return
		}
		if piece < plainPieces-1 {
			time.Sleep(plainGap)
		}
	}
}

func writeEvents(writer answerWriter, attempt string, first int) {
	for event := first; event <= whole; event++ {
		fmt.Fprintf(writer, "id: %[1]d\ndata: token %[1]d to %[2]s\n\n", event, attempt)
		if err := writer.Flush(); err != nil {
			return
		}
		time.Sleep(pieceGap)
	}
}
