package message

import "net/http"

// MaxHeaderBytes limits the header of a response, with those of interim responses. The
// default of net/http is 10 MB, which is too much for many responses at once on a small VM.
const MaxHeaderBytes = 64 << 10

// Transport limits the bodies of the responses that another transport receives, and refuses
// responses whose head is none of a final response.
type Transport struct {
	Next    http.RoundTripper
	Limiter *Limiter
}

// RoundTrip sends the request with the next transport.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := transport.Next.RoundTrip(request.WithContext(traceRequest(request.Context())))
	if err != nil {
		return nil, err
	}
	return transport.Limiter.receive(request, response)
}

// CloseIdleConnections closes those of the next transport.
func (transport *Transport) CloseIdleConnections() {
	if closer, ok := transport.Next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// HTTPClient is the interface of clients that generated code uses.
type HTTPClient interface {
	Do(request *http.Request) (*http.Response, error)
}

// Client does the same as Transport for another client.
type Client struct {
	Next    HTTPClient
	Limiter *Limiter
}

// Do sends the request with the next client.
func (client *Client) Do(request *http.Request) (*http.Response, error) {
	response, err := client.Next.Do(request.WithContext(traceRequest(request.Context())))
	if err != nil {
		return nil, err
	}
	return client.Limiter.receive(request, response)
}

// receive returns the response with a limited body, or an error if its head is none of a
// final response.
func (limiter *Limiter) receive(request *http.Request, response *http.Response) (*http.Response, error) {
	if err := checkHead(request.URL.Host, response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = limiter.Limit(request.Context(), request.URL.Host, response.Body)
	return response, nil
}
