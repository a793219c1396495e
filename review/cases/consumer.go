package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes, and apiKey the key of the tenant.
const (
	host   = "desk.example"
	tenant = "repair-shops"
	apiKey = "key-of-repair-shops" //nolint:gosec // of the stand-in
)

// request is what a consumer sends.
type request struct {
	id, path string
	// promptTokens and outputTokens are sent as Wisterialb-Token-Usage.
	promptTokens, outputTokens int
	timeLimit                  time.Duration
}

// answer is what a consumer got.
type answer struct {
	request
	// address is that of the router, status zero without an answer.
	address string
	status  int
	sealed  bool
	// events counts the whole events, and complete is set if the answer looks whole: it
	// ended as HTTP says and, if it is a stream, between two events.
	events   int
	complete bool
	// bytes is the length of the body.
	bytes int
	err   error
}

// consumers ask the registry for addresses, keep the response for its time, and send
// requests over kept channels.
type consumers struct {
	routers []*router
	zone    string
	client  *http.Client
	record  *record

	mutex      sync.Mutex
	addresses  []string
	renewAfter time.Time
}

func newConsumers(routers []*router, record *record) *consumers {
	return &consumers{
		routers: routers, zone: firstZone, record: record,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}},
	}
}

// resolve asks up to three routers where to connect, and keeps the response for its
// time, or longer if there is no new one.
func (consumers *consumers) resolve() []string {
	consumers.mutex.Lock()
	defer consumers.mutex.Unlock()
	if time.Now().Before(consumers.renewAfter) {
		return consumers.addresses
	}
	for range 3 {
		router := consumers.routers[rand.IntN(len(consumers.routers))]
		if addresses, lifetime, err := consumers.ask(router); err == nil {
			consumers.addresses, consumers.renewAfter = addresses, time.Now().Add(lifetime)
			break
		}
	}
	return consumers.addresses
}

func (consumers *consumers) ask(router *router) (addresses []string, lifetime time.Duration, err error) {
	client := &http.Client{Timeout: time.Second, Transport: consumers.client.Transport}
	query := url.Values{"name": {host}, "region": {"smaland"}, "zone": {consumers.zone}}
	response, err := client.Get("http://" + router.address(router.ports.directory) + "/v1/resolve?" + query.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var list struct {
		Addresses []string `json:"addresses"`
		LifetimeS float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, 0, err
	}
	if len(list.Addresses) == 0 {
		return nil, 0, errors.New("no addresses")
	}
	return list.Addresses, time.Duration(list.LifetimeS * float64(time.Second)), nil
}

// send sends the request once, to a router picked at random, and records the answer.
func (consumers *consumers) send(request request) answer {
	answer := answer{request: request}
	if addresses := consumers.resolve(); len(addresses) > 0 {
		answer.address = addresses[rand.IntN(len(addresses))]
		consumers.roundTrip(&answer)
	} else {
		answer.err = errors.New("no address known")
	}
	consumers.record.add("consumer %s %s to %s: status %d, sealed %t, events %d, bytes %d, looks complete %t, %v",
		request.id, request.path, answer.address, answer.status, answer.sealed, answer.events, answer.bytes, answer.complete, answer.err)
	return answer
}

func (consumers *consumers) roundTrip(answer *answer) {
	ctx, cancel := context.WithTimeout(context.Background(), answer.timeLimit)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+answer.address+answer.path, strings.NewReader("question "+answer.id))
	if err != nil {
		answer.err = err
		return
	}
	httpRequest.GetBody = nil // keeps the transport from sending the request twice
	httpRequest.Host = host
	httpRequest.Header.Set("Wisterialb-Attempt-Id", answer.id)
	httpRequest.Header.Set("Wisterialb-Deadline-Ms", strconv.FormatInt(answer.timeLimit.Milliseconds(), 10))
	httpRequest.Header.Set("Wisterialb-Model", "m")
	httpRequest.Header.Set("Wisterialb-Token-Usage", fmt.Sprintf("%d,%d", answer.promptTokens, answer.outputTokens))
	httpRequest.Header.Set("Wisterialb-Prompt-Prefix", fmt.Sprintf("a1:172,%s:%d", answer.id, answer.promptTokens-172))
	httpRequest.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := consumers.client.Do(httpRequest)
	if err != nil {
		answer.err = err
		return
	}
	defer response.Body.Close()
	answer.status, answer.sealed = response.StatusCode, response.Header.Get("Wisterialb-Server-Seal") != ""
	answer.read(response.Body)
}

// read reads the answer to its end and counts its events.
func (answer *answer) read(body io.Reader) {
	reader, insideEvent := bufio.NewReader(body), false
	for {
		line, err := reader.ReadString('\n')
		answer.bytes += len(line)
		switch {
		case errors.Is(err, io.EOF):
			answer.complete = line == "" && !insideEvent || strings.HasPrefix(answer.path, plainPrefix)
			return
		case err != nil:
			answer.err = err
			return
		case line != "\n":
			insideEvent = true
		case insideEvent:
			answer.events++
			insideEvent = false
		}
	}
}

// newID returns an id of a consumer attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
