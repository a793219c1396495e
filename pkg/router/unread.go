package router

// What is read of callers' requests.
//
// nbhttp keeps a request until all of it is read. A caller that never sends the end of
// its request, and many callers with large ones, would fill the VM's memory. Therefore
// each connection counts what it holds; beyond a total for all, those that hold most of
// a request without an end are closed, and whole requests that don't fit are refused. A
// header that is too large is refused as it comes in.

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// headFactor is the multiple of MaxHeaderBytes that an incomplete header may have, with
	// its separators and the request line.
	headFactor = 2
	// maxReadBytes is the size of the buffer into which nbio reads.
	maxReadBytes = nbio.DefaultReadBufferSize
	// smallRequestBytes is the size up to which whole requests always fit. MaxRequests
	// limits how many run.
	smallRequestBytes = 4 << 10
	// headerFieldOverhead is the size of the separators of a header field.
	headerFieldOverhead = len(": \r\n")
)

// requestParts counts the parts of a request as nbhttp parses them. It is used by the
// poller of the connection.
type requestParts struct {
	nbhttp.Processor
	connection *callerConnection
	// bytes is the size of the parts so far, begun whether there are any, and headComplete
	// whether they include the end of the header.
	bytes               int64
	begun, headComplete bool
	// completed is set once the connection has had a request.
	completed bool
	// refusal is the header of a request that is refused if the server still pauses at
	// its end; nil for another one. dropping is set while the rest of it is read.
	refusal  *http.Request
	dropping bool
}

// OnMethod notes the begin of a request.
func (requestParts *requestParts) OnMethod(parser *nbhttp.Parser, method string) {
	requestParts.bytes += int64(len(method))
	requestParts.begun = true
	if !requestParts.completed && requestParts.connection.server.pauser.paused.Load() {
		requestParts.refusal = requestParts.connection.newRefusedRequest(method)
	}
	requestParts.Processor.OnMethod(parser, method)
}

// OnURL counts the request line.
func (requestParts *requestParts) OnURL(parser *nbhttp.Parser, target string) error {
	requestParts.bytes += int64(len("  HTTP/1.1\r\n") + len(target))
	return requestParts.Processor.OnURL(parser, target)
}

// OnHeader counts a header field.
func (requestParts *requestParts) OnHeader(parser *nbhttp.Parser, key, value string) {
	requestParts.bytes += int64(len(key) + len(value) + headerFieldOverhead)
	if requestParts.refusal != nil {
		requestParts.refusal.Header.Add(key, value)
	}
	requestParts.Processor.OnHeader(parser, key, value)
}

// OnContentLength notes the end of the header. While the server pauses, it refuses the
// request.
func (requestParts *requestParts) OnContentLength(parser *nbhttp.Parser, length int) {
	requestParts.bytes += int64(len("\r\n"))
	requestParts.headComplete = true
	requestParts.Processor.OnContentLength(parser, length)
	pauser := requestParts.connection.server.pauser
	if requestParts.refusal != nil && pauser.paused.Load() {
		requestParts.dropping = true
		requestParts.connection.unread.Store(true)
		pauser.refused.Add(1)
		requestParts.connection.refuseUnread(requestParts.refusal, errPaused)
	} else if !requestParts.completed {
		requestParts.connection.widenWindow()
	}
	requestParts.refusal = nil
}

// OnBody counts the body or a chunk of it.
func (requestParts *requestParts) OnBody(parser *nbhttp.Parser, data []byte) error {
	requestParts.bytes += int64(len(data))
	if requestParts.dropping {
		return nil
	}
	return requestParts.Processor.OnBody(parser, data)
}

// OnTrailerHeader passes on a trailer, unless the request is refused.
func (requestParts *requestParts) OnTrailerHeader(parser *nbhttp.Parser, key, value string) {
	if !requestParts.dropping {
		requestParts.Processor.OnTrailerHeader(parser, key, value)
	}
}

// OnComplete hands the request over to the connection's goroutine, unless it is refused.
func (requestParts *requestParts) OnComplete(parser *nbhttp.Parser) {
	requestParts.connection.completeRequest(requestParts.bytes)
	requestParts.bytes, requestParts.begun, requestParts.headComplete, requestParts.completed = 0, false, false, true
	if requestParts.dropping {
		requestParts.dropping = false
		requestParts.connection.unread.Store(false)
		requestParts.Clean(parser)
		return
	}
	requestParts.Processor.OnComplete(parser)
}

// Parse parses data that was read from the connection.
func (callerConnection *callerConnection) Parse(data []byte) error {
	if callerConnection.refusedHead {
		return nil // is read until the caller has got the answer
	}
	callerConnection.lastRead, callerConnection.completed = int64(len(data)), false
	callerConnection.addIncomplete(int64(len(data)))
	if err := callerConnection.parser.Parse(data); err != nil {
		callerConnection.setIncomplete(0)
		return err
	}
	if callerConnection.completed && !callerConnection.parts.begun || callerConnection.parts.dropping {
		callerConnection.setIncomplete(0) // the sizes of the parts are only estimates, and what is dropped isn't held
	}
	server := callerConnection.server
	if !callerConnection.parts.headComplete && callerConnection.incomplete.Load() > int64(headFactor*server.config.MaxHeaderBytes) {
		callerConnection.refuseHead()
	}
	server.limitRequests()
	return nil
}

func (callerConnection *callerConnection) addIncomplete(count int64) {
	callerConnection.server.requestBytes.Add(count)
	callerConnection.incomplete.Add(count)
}

func (callerConnection *callerConnection) setIncomplete(count int64) {
	callerConnection.server.requestBytes.Add(count - callerConnection.incomplete.Swap(count))
}

// completeRequest takes a request of the given size from what is incomplete. What
// follows it was read last.
func (callerConnection *callerConnection) completeRequest(bytes int64) {
	rest := callerConnection.incomplete.Load() - bytes
	callerConnection.setIncomplete(max(0, min(rest, callerConnection.lastRead)))
	callerConnection.completed, callerConnection.completedBytes = true, bytes
}

// runRequest runs a request that was just completed, after the earlier ones of the
// connection. It reports false if the connection is closed.
func (callerConnection *callerConnection) runRequest(run func()) bool {
	server, bytes := callerConnection.server, callerConnection.completedBytes
	server.requestBytes.Add(bytes)
	callerConnection.held.Add(1)
	fits := server.limitRequests() || bytes <= smallRequestBytes
	release := func() {
		callerConnection.held.Add(-1)
		server.requestBytes.Add(-bytes)
	}
	executed := callerConnection.Execute(func() {
		defer release()
		defer callerConnection.endRequest()
		callerConnection.bodyFits = fits
		run()
	})
	if !executed {
		release()
	}
	return executed
}

// refuseHead answers a request whose header is too large before its end has come, after
// the answers to earlier requests.
func (callerConnection *callerConnection) refuseHead() {
	callerConnection.refusedHead = true
	callerConnection.refuseUnread(callerConnection.newRefusedRequest(http.MethodGet), headerTooLarge(callerConnection.server.config.MaxHeaderBytes))
}

// newRefusedRequest returns a request without a header, for an answer to one that isn't
// read completely.
func (callerConnection *callerConnection) newRefusedRequest(method string) *http.Request {
	return &http.Request{
		Method: method, URL: &url.URL{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true,
		RemoteAddr: callerConnection.RemoteAddr().String(),
	}
}

// refuseUnread answers a request that isn't read completely, and closes the connection.
func (callerConnection *callerConnection) refuseUnread(request *http.Request, err error) {
	server := callerConnection.server
	callerConnection.Execute(func() {
		response := nbhttp.NewResponse(callerConnection.parser, request)
		if !server.closer.beginRequest(callerConnection.Conn, response, request) {
			return
		}
		server.config.Refuse(response, request, err)
		response.Flush()
		server.closer.endRequest(callerConnection.Conn, time.Now())
	})
}

// limitRequests closes connections with incomplete requests, the largest first, while
// all connections together hold more than MaxRequestBytes. It reports whether they hold
// less then.
func (server *Server) limitRequests() bool {
	for server.requestBytes.Load() > server.config.MaxRequestBytes {
		largest := server.largestIncomplete()
		if largest == nil {
			return false
		}
		bytes := largest.incomplete.Load()
		largest.setIncomplete(0)
		_ = largest.CloseWithError(requestsTooLarge(bytes)) // an error means that it is closed already
	}
	return true
}

// largestIncomplete returns the connection with the largest incomplete request, or nil
// if there is none. It returns one with an earlier request that still runs only if there
// is no other and the incomplete one has more than a read.
func (server *Server) largestIncomplete() *callerConnection {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var largest *callerConnection
	var largestBytes int64
	largestRuns := true
	for connection := range server.connections {
		bytes, runs := connection.incomplete.Load(), connection.held.Load() > 0
		if bytes == 0 || runs && bytes <= maxReadBytes {
			continue
		}
		if largest != nil && (runs && !largestRuns || runs == largestRuns && bytes <= largestBytes) {
			continue
		}
		largest, largestBytes, largestRuns = connection, bytes, runs
	}
	return largest
}

// requestsTooLarge is why a connection is closed with an incomplete request.
func requestsTooLarge(bytes int64) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: fmt.Sprintf("the requests of all callers take too much memory; %d bytes of an incomplete one are dropped", bytes),
		Remedy:  "send the request to another router",
	})
}

// errRequestsTooLarge refuses a whole request that doesn't fit into the memory.
var errRequestsTooLarge = fault.New(fault.Config{
	Kind:       fault.Unavailable,
	Message:    "the requests of all callers take too much memory",
	Remedy:     "send the request to another router",
	RetryAfter: overloadRetryAfter,
})
