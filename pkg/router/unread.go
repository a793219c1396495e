package router

// What is read of callers' requests.
//
// nbhttp keeps a request until all of it is read. A caller that never sends the end of
// its request, and many callers with large ones, would fill the VM's memory. Therefore
// each connection counts what it holds; beyond a total for all, requests without an end
// are refused, first those that have stalled, then the largest, and so are whole requests
// that don't fit. A header that is too large is refused as it comes in.

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
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
	// stallTime is how long the caller of an incomplete request sends nothing before it is
	// dropped in favor of larger ones.
	stallTime = time.Second
	// freeFields and fieldOverhead are those of the plan for memory.
	freeFields    = memory.FreeHeaderFields
	fieldOverhead = memory.HeaderFieldBytes
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
	// fields is the number of header fields, and overhead the part of bytes that was not
	// read.
	fields, overhead int64
	// contentLength is the stated length of the body; negative without one.
	contentLength int64
}

// OnMethod notes the begin of a request.
func (requestParts *requestParts) OnMethod(parser *nbhttp.Parser, method string) {
	requestParts.bytes += int64(len(method))
	requestParts.begun = true
	requestParts.Processor.OnMethod(parser, method)
}

// OnURL counts the request line. It ends the parsing of an evicted connection.
func (requestParts *requestParts) OnURL(parser *nbhttp.Parser, target string) error {
	if requestParts.connection.isEvicted() {
		return errReadAhead
	}
	requestParts.bytes += int64(len("  HTTP/1.1\r\n") + len(target))
	return requestParts.Processor.OnURL(parser, target)
}

// OnHeader counts a header field.
func (requestParts *requestParts) OnHeader(parser *nbhttp.Parser, key, value string) {
	requestParts.bytes += int64(len(key) + len(value) + headerFieldOverhead)
	requestParts.countField()
	requestParts.Processor.OnHeader(parser, key, value)
}

// OnTrailerHeader counts a field after the body.
func (requestParts *requestParts) OnTrailerHeader(parser *nbhttp.Parser, key, value string) {
	requestParts.countField()
	requestParts.Processor.OnTrailerHeader(parser, key, value)
}

// countField counts the memory that a field takes besides its bytes.
func (requestParts *requestParts) countField() {
	if requestParts.fields++; requestParts.fields > freeFields {
		requestParts.bytes += fieldOverhead
		requestParts.overhead += fieldOverhead
		requestParts.connection.incomplete.Add(fieldOverhead)
		requestParts.connection.server.requestBytes.Add(fieldOverhead)
	}
}

// OnContentLength notes the end of the header.
func (requestParts *requestParts) OnContentLength(parser *nbhttp.Parser, length int) {
	requestParts.bytes += int64(len("\r\n"))
	requestParts.headComplete, requestParts.contentLength = true, int64(length)
	requestParts.Processor.OnContentLength(parser, length)
}

// OnBody counts the body or a chunk of it.
func (requestParts *requestParts) OnBody(parser *nbhttp.Parser, data []byte) error {
	requestParts.bytes += int64(len(data))
	return requestParts.Processor.OnBody(parser, data)
}

// OnComplete hands the request over to the connection's goroutine.
func (requestParts *requestParts) OnComplete(parser *nbhttp.Parser) {
	requestParts.connection.completeRequest(requestParts.bytes)
	requestParts.fields, requestParts.overhead = 0, 0
	requestParts.bytes, requestParts.begun, requestParts.headComplete = 0, false, false
	requestParts.Processor.OnComplete(parser)
}

// Parse parses data that was read from the connection.
func (callerConnection *callerConnection) Parse(data []byte) error {
	callerConnection.bytesRead.Add(int64(len(data)))
	now := time.Now().UnixNano()
	callerConnection.lastReadAt.Store(now)
	if callerConnection.incomplete.Load() == 0 {
		callerConnection.begunAt.Store(now)
	}
	if callerConnection.refusedHead {
		return nil // is read until the caller has got the answer
	}
	if callerConnection.dropped.Load() {
		return nil // the same
	}
	callerConnection.lastRead, callerConnection.completed = int64(len(data)), false
	if !callerConnection.reserve(int64(len(data))) {
		return nil
	}
	err := callerConnection.parser.Parse(data)
	if callerConnection.dropped.Load() { // by another poller meanwhile
		callerConnection.setIncomplete(0)
		return nil
	}
	if err != nil {
		callerConnection.noteRead()
		if errors.Is(err, nbhttp.ErrTooLong) {
			callerConnection.refuseRest(bodyTooLarge(callerConnection.server.config.MaxBodyBytes))
			return nil
		}
		callerConnection.setIncomplete(0)
		return err
	}
	if callerConnection.completed && !callerConnection.parts.begun {
		callerConnection.setIncomplete(0) // the sizes of the parts are only estimates
	}
	server := callerConnection.server
	if !callerConnection.parts.headComplete && callerConnection.bytesOfIncomplete() > int64(headFactor*server.config.MaxHeaderBytes) {
		callerConnection.refuseHead()
	}
	callerConnection.noteRead()
	server.limitRequests()
	return nil
}

// reserve counts what was read before it is kept, and drops incomplete requests if there
// is no room for it. It reports false if this request is one of them.
func (callerConnection *callerConnection) reserve(count int64) bool {
	server := callerConnection.server
	for {
		held := server.requestBytes.Load()
		if server.hasRoomFor(count) {
			if server.requestBytes.CompareAndSwap(held, held+count) {
				break
			}
			continue
		}
		if server.evictReadAhead(count); server.hasRoomFor(count) {
			continue
		}
		first := server.firstToDrop(time.Now())
		if first == nil || first == callerConnection && !callerConnection.needsMoreThan(count) {
			server.requestBytes.Add(count)
			break
		}
		first.drop()
		if first == callerConnection {
			return false
		}
	}
	callerConnection.incomplete.Add(count)
	return true
}

// needsMoreThan reports whether the request is known to be incomplete with count further
// bytes.
func (callerConnection *callerConnection) needsMoreThan(count int64) bool {
	return callerConnection.parts.headComplete && callerConnection.bytesOfIncomplete()+count < callerConnection.parts.contentLength
}

// bytesOfIncomplete returns how many bytes were read of the incomplete request.
func (callerConnection *callerConnection) bytesOfIncomplete() int64 {
	return callerConnection.incomplete.Load() - callerConnection.parts.overhead
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
	callerConnection.wholeRequests.Add(1)
	callerConnection.readState.Store(ReadWhole)
}

// runRequest runs a request that was just completed, after the earlier ones of the
// connection. It reports false if the connection is closed.
func (callerConnection *callerConnection) runRequest(run func()) bool {
	server, bytes := callerConnection.server, callerConnection.completedBytes
	count, held := callerConnection.hold(bytes)
	if count > int64(server.config.MaxReadAhead)+1 {
		callerConnection.evict(EvictedReadAhead, errReadAhead)
	}
	fits := server.limitRequests() || bytes <= smallRequestBytes
	if !fits {
		held = callerConnection.discardBody(held)
	}
	executed := callerConnection.Execute(func() {
		defer callerConnection.release(held)
		defer callerConnection.endRequest()
		callerConnection.bodyFits = fits
		run()
	})
	if !executed {
		callerConnection.release(held)
		callerConnection.reportDropped()
	}
	return executed
}

// refuseHead answers a request whose header is too large before its end has come, after
// the answers to earlier requests.
func (callerConnection *callerConnection) refuseHead() {
	callerConnection.refusedHead = true
	callerConnection.Execute(func() { callerConnection.refuseUnread(headerTooLarge(callerConnection.server.config.MaxHeaderBytes)) })
}

// drop refuses an incomplete request for which there is no room, and reports it.
func (callerConnection *callerConnection) drop() {
	err := requestsTooLarge(callerConnection.incomplete.Load())
	if callerConnection.refuseRest(errRequestsTooLarge) {
		callerConnection.server.config.OnUnanswered(Unanswered{
			Reason: UnansweredUnread, Caller: callerConnection.RemoteAddr().String(), Err: err, Connection: callerConnection.end(EndedByLimit, err),
		})
	}
}

// refuseRest answers an incomplete request with a refusal, after the answers to earlier
// requests, and forgets what was read of it. It reports whether the refusal is sent. What
// was read is freed at once, as earlier answers may stay unread for long. A goroutine
// does that: the poller may hold the lock of another parser.
func (callerConnection *callerConnection) refuseRest(err error) bool {
	if callerConnection.dropped.Swap(true) {
		return false
	}
	callerConnection.setIncomplete(0)
	go callerConnection.parser.CloseAndClean(err)
	return callerConnection.Execute(func() {
		callerConnection.parser.CloseAndClean(err) // waits for the one above
		if !callerConnection.refuseUnread(err) {
			_ = callerConnection.CloseWithError(err) // an error means that it is closed already
		}
	})
}

// refuseUnread refuses a request that wasn't read whole and closes the connection after
// it. It reports false if an earlier answer was the connection's last.
func (callerConnection *callerConnection) refuseUnread(err error) bool {
	server := callerConnection.server
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true,
		RemoteAddr: callerConnection.RemoteAddr().String(),
	}
	response := nbhttp.NewResponse(callerConnection.parser, request)
	if !server.closer.beginRequest(callerConnection.Conn, response, request) {
		return false
	}
	server.config.Refuse(response, request, err)
	response.Flush()
	server.closer.endRequest(callerConnection.Conn, time.Now())
	return true
}

// isStalled reports whether the caller has sent nothing for stallTime.
func (callerConnection *callerConnection) isStalled(now time.Time) bool {
	return now.Sub(time.Unix(0, callerConnection.lastReadAt.Load())) > stallTime
}

// limitRequests closes connections with requests read ahead, and then drops incomplete
// requests, while all connections together hold more than MaxRequestBytes: the largest of those that have stalled, or else the largest of all. It
// reports whether they hold less then.
func (server *Server) limitRequests() bool {
	server.evictReadAhead(0)
	for !server.hasRoomFor(0) {
		connection := server.firstToDrop(time.Now())
		if connection == nil {
			return false
		}
		connection.drop()
	}
	return true
}

// incompleteRequest is an incomplete request that may be dropped.
type incompleteRequest struct {
	connection *callerConnection
	bytes      int64
	// stalled is whether it doesn't go on, and behind whether an earlier request of its
	// connection still runs.
	stalled, behind bool
}

// goesBefore reports whether the request is to be dropped before another one.
func (incompleteRequest incompleteRequest) goesBefore(other incompleteRequest) bool {
	switch {
	case incompleteRequest.behind != other.behind:
		return other.behind
	case incompleteRequest.stalled != other.stalled:
		return incompleteRequest.stalled
	default:
		return incompleteRequest.bytes > other.bytes
	}
}

// firstToDrop returns the connection whose incomplete request is to be dropped next, or
// nil if there is none. It returns one with an earlier request that still runs only if
// there is no other and the incomplete one has more than a read.
func (server *Server) firstToDrop(now time.Time) *callerConnection {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var first incompleteRequest
	for connection := range server.connections {
		request := incompleteRequest{
			connection: connection, bytes: connection.incomplete.Load(), stalled: connection.isStalled(now), behind: connection.holdsRequests(),
		}
		if request.bytes == 0 || request.behind && request.bytes <= maxReadBytes || connection.dropped.Load() {
			continue
		}
		if first.connection == nil || request.goesBefore(first) {
			first = request
		}
	}
	return first.connection
}

// requestsTooLarge is why an incomplete request is dropped.
func requestsTooLarge(bytes int64) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: fmt.Sprintf("the requests of all callers take too much memory; %d bytes of an incomplete one are dropped", bytes),
		Remedy:  anotherRouterRemedy,
	})
}

// errRequestsTooLarge refuses a whole request that doesn't fit into the memory.
var errRequestsTooLarge = fault.New(fault.Config{
	Kind:       fault.Unavailable,
	Message:    "the requests of all callers take too much memory",
	Remedy:     anotherRouterRemedy,
	RetryAfter: overloadRetryAfter,
})
