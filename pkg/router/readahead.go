package router

// Requests that are read ahead.
//
// nbhttp parses all that it reads, so requests that a caller sends without waiting for
// answers would fill the VM's memory. nbio can't stop reading from a connection: its
// pollers would report the same connection again and again. Therefore a connection with
// too many of these requests is closed. When the memory for requests is short,
// connections with requests read ahead are closed before anything else is dropped, as
// callers within the limits wait for each answer.

import (
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// DefaultReadAhead is the default of ServerConfig.MaxReadAhead. Callers that wait for
	// each answer have no request read ahead.
	DefaultReadAhead = 16
	// readAheadOverhead is what a request that is read ahead holds besides its bytes: its
	// header table, the answer and the closures that run it.
	readAheadOverhead = 4 << 10
	// minEvictedRequests is the least number of requests that run or wait of a connection
	// that is closed when memory is short. A caller that waits for each answer can have two:
	// the next one may be read before the end of the last one is counted.
	minEvictedRequests = 3
)

// Eviction describes a connection that the server closes because its caller is outside
// the limits.
type Eviction struct {
	// Caller is the caller's address.
	Caller string
	Reason EvictionReason
	// Requests counts the requests of the connection that run or wait, and Bytes is what
	// they hold.
	Requests, Bytes int64
}

// EvictionReason is why a connection is closed.
type EvictionReason string

// Reasons for the closing of a connection.
const (
	// EvictedReadAhead means that the caller sent too many requests without waiting for
	// their answers.
	EvictedReadAhead EvictionReason = "read_ahead"
	// EvictedMemory means that the memory for requests was short and the caller had sent
	// requests without waiting for earlier answers.
	EvictedMemory EvictionReason = "memory"
)

// LogFields returns the names and values for a log line.
func (eviction Eviction) LogFields() []any {
	return []any{
		"event", "client_evicted", "client", eviction.Caller, "reason", eviction.Reason, "requests", eviction.Requests, "bytes", eviction.Bytes,
	}
}

func ignoreEvicted(Eviction) {}

// heldRequests are the whole requests of a connection that run or wait.
type heldRequests struct {
	mutex        sync.Mutex
	count, bytes int64
	// evicted is whether their connection was closed by evict.
	evicted bool
}

// hold counts a request. It reports how many the connection holds with it, and what it
// adds to the requests' memory.
func (callerConnection *callerConnection) hold(bytes int64) (count, held int64) {
	requests := &callerConnection.held
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	if requests.count > 0 {
		bytes += readAheadOverhead
	}
	requests.count++
	callerConnection.addHeld(bytes)
	return requests.count, bytes
}

// addHeld adds to the bytes of the held requests, whose mutex must be held.
func (callerConnection *callerConnection) addHeld(bytes int64) {
	callerConnection.held.bytes += bytes
	callerConnection.server.requestBytes.Add(bytes)
	if callerConnection.held.evicted {
		callerConnection.server.closingBytes.Add(bytes)
	}
}

// release gives back what hold counted.
func (callerConnection *callerConnection) release(held int64) {
	requests := &callerConnection.held
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	requests.count--
	callerConnection.addHeld(-held)
}

// discardBody frees the body of the request that was completed last, as it is refused:
// earlier requests of the connection may run for long. It returns what release gives back.
func (callerConnection *callerConnection) discardBody(held int64) int64 {
	request := callerConnection.parsed
	if request == nil || request.Body == nil {
		return held
	}
	_ = request.Body.Close() // never fails
	requests := &callerConnection.held
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	callerConnection.addHeld(-held)
	return 0
}

// waiting returns how many whole requests the connection holds and their bytes; none if
// they were given up.
func (heldRequests *heldRequests) waiting() (count, bytes int64) {
	heldRequests.mutex.Lock()
	defer heldRequests.mutex.Unlock()
	if heldRequests.evicted {
		return 0, 0
	}
	return heldRequests.count, heldRequests.bytes
}

// isEvicted reports whether the connection was closed by evict.
func (callerConnection *callerConnection) isEvicted() bool {
	callerConnection.held.mutex.Lock()
	defer callerConnection.held.mutex.Unlock()
	return callerConnection.held.evicted
}

// holdsRequests reports whether a whole request of the connection runs or waits.
func (callerConnection *callerConnection) holdsRequests() bool {
	callerConnection.held.mutex.Lock()
	defer callerConnection.held.mutex.Unlock()
	return callerConnection.held.count > 0
}

// evict closes the connection. What its requests hold until their handlers have ended
// counts as closing.
func (callerConnection *callerConnection) evict(reason EvictionReason, err error) {
	server, requests := callerConnection.server, &callerConnection.held
	requests.mutex.Lock()
	eviction := Eviction{
		Caller: callerConnection.RemoteAddr().String(), Reason: reason, Requests: requests.count, Bytes: requests.bytes,
	}
	evictedBefore := requests.evicted
	if !evictedBefore {
		requests.evicted = true
		server.closingBytes.Add(requests.bytes)
	}
	requests.mutex.Unlock()
	if !evictedBefore {
		server.config.OnEvicted(eviction)
		_ = callerConnection.CloseWithError(err) // an error means that it is closed already
	}
}

// errReadAhead is why a connection with requests read ahead is closed.
var errReadAhead = fault.New(fault.Config{
	Kind:    fault.Unavailable,
	Message: "too many requests were sent on a connection without waiting for their answers",
	Remedy:  "send the next request after the answer to the one before",
})

// isReadAhead reports whether a caller that waits for each answer can't have sent count
// whole requests and the rest that is incomplete.
func (callerConnection *callerConnection) isReadAhead(count int64, now time.Time) bool {
	begun := time.Unix(0, callerConnection.begunAt.Load())
	return count >= minEvictedRequests || count > 0 && callerConnection.incomplete.Load() > 0 && now.Sub(begun) > stallTime
}

// firstReadAhead returns the connection that holds most of those with requests read
// ahead, or nil if there is none.
func (server *Server) firstReadAhead(now time.Time) *callerConnection {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var first *callerConnection
	var most int64
	for connection := range server.connections {
		count, bytes := connection.held.waiting()
		if bytes += connection.incomplete.Load(); bytes > most && connection.isReadAhead(count, now) {
			first, most = connection, bytes
		}
	}
	return first
}

// evictReadAhead closes connections with requests read ahead while there is no room for
// count further bytes.
func (server *Server) evictReadAhead(count int64) {
	for server.requestBytes.Load()-server.closingBytes.Load()+count > server.config.MaxRequestBytes {
		connection := server.firstReadAhead(time.Now())
		if connection == nil {
			return
		}
		connection.evict(EvictedMemory, errReadAhead)
	}
}

// hasRoomFor reports whether count further bytes fit into the memory for requests. What is
// about to be freed doesn't count, unless it is more than half of that memory.
func (server *Server) hasRoomFor(count int64) bool {
	used, limit := server.requestBytes.Load()+count, server.config.MaxRequestBytes
	return used-server.closingBytes.Load() <= limit && used-limit <= limit/2
}
