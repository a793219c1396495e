package platform

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// EraHeader is the header of responses that says how often the platform's table and
// objects have come back from an older copy, which undoes the writes after that copy. A
// platform that never does may leave it out.
const EraHeader = "Wisterialb-Era"

// RestoreObserver is a platform that tells when it has come back from an older copy.
type RestoreObserver interface {
	// OnRestore sets the function that is called when a response states a later era
	// than those before it. It replaces an earlier function.
	OnRestore(observe func(previous, era uint64))
}

// eraTransport reads EraHeader from all responses.
type eraTransport struct {
	next http.RoundTripper

	mutex     sync.Mutex
	era       uint64
	onRestore func(previous, era uint64)
}

// RoundTrip sends the request with the next transport.
func (eraTransport *eraTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := eraTransport.next.RoundTrip(request)
	if err == nil {
		eraTransport.observe(response.Header.Get(EraHeader))
	}
	return response, err
}

// CloseIdleConnections closes those of the next transport.
func (eraTransport *eraTransport) CloseIdleConnections() {
	if closer, ok := eraTransport.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

func (eraTransport *eraTransport) observe(text string) {
	era, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return
	}
	eraTransport.mutex.Lock()
	previous, onRestore := eraTransport.era, eraTransport.onRestore
	eraTransport.era = max(era, previous)
	eraTransport.mutex.Unlock()
	if previous > 0 && era > previous && onRestore != nil {
		onRestore(previous, era)
	}
}
