package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is what a consumer sends.
type request struct {
	router *router
	id     string
	path   string
	// usage and parts are the headers of prompts; empty leaves them out.
	usage, parts string
	timeout      time.Duration
}

// answer is what the consumer has seen of an answer.
type answer struct {
	status int
	// events counts the whole events of a stream.
	events int
	sealed bool
	body   string
	sentAt time.Time
	endAt  time.Time
	err    error
}

const (
	host = "shop.example"
	key  = "key-of-cooks"
)

// send sends a request on a channel of its own.
func send(request request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), request.timeout+500*time.Millisecond)
	defer cancel()
	answer := answer{sentAt: time.Now()}
	answer.read(ctx, request)
	answer.endAt = time.Now()
	return answer
}

func (answer *answer) read(ctx context.Context, request request) {
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.router.front()+request.path, strings.NewReader("body of "+request.id))
	if err != nil {
		answer.err = err
		return
	}
	sent.Host, sent.Close, sent.GetBody = host, true, nil
	sent.Header.Set("Wisterialb-Attempt-Id", request.id)
	sent.Header.Set("Wisterialb-Deadline-Ms", strconv.FormatInt(request.timeout.Milliseconds(), 10))
	sent.Header.Set("Authorization", "Bearer "+key)
	if request.usage != "" {
		sent.Header.Set("Wisterialb-Token-Usage", request.usage)
	}
	if request.parts != "" {
		sent.Header.Set("Wisterialb-Model", "m")
		sent.Header.Set("Wisterialb-Prompt-Prefix", request.parts)
	}
	response, err := http.DefaultTransport.RoundTrip(sent)
	if err != nil {
		answer.err = err
		return
	}
	defer response.Body.Close()
	answer.status, answer.sealed = response.StatusCode, response.Header.Get("Wisterialb-Server-Seal") != ""
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(response.Body)
		answer.body, answer.err = string(body), err
		return
	}
	answer.err = answer.readEvents(bufio.NewReader(response.Body))
}

// readEvents counts the events of a stream until its end.
func (answer *answer) readEvents(reader *bufio.Reader) error {
	inEvent := false
	for {
		line, err := reader.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && line == "" && !inEvent:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case line != "\n":
			inEvent = true
		case inEvent:
			answer.events++
			inEvent = false
		}
	}
}
