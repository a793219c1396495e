package demo

import (
	"net/http"
	"sync/atomic"
)

// link carries a router's calls to the platform and to its peers. While it is
// cut, calls hang until their deadline, as behind a network partition.
type link struct {
	cut atomic.Bool
}

// linkTransport is an http.RoundTripper over a link.
type linkTransport struct {
	link *link
	base http.RoundTripper
}

func (link *link) wrap(base http.RoundTripper) http.RoundTripper {
	return &linkTransport{link: link, base: base}
}

// RoundTrip sends the request unless the link is cut. An answer that comes
// while the link is cut is lost.
func (transport *linkTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if transport.link.cut.Load() {
		return nil, transport.hang(request)
	}
	response, err := transport.base.RoundTrip(request)
	if err == nil && transport.link.cut.Load() {
		_ = response.Body.Close()
		return nil, transport.hang(request)
	}
	return response, err
}

func (transport *linkTransport) hang(request *http.Request) error {
	<-request.Context().Done()
	return request.Context().Err()
}
