package peer

// Message signing: the client signs the path, a nonce and the body with the key
// that all routers share. The server verifies the signature before it decodes the
// message, and signs its response together with the nonce. The client verifies
// that before it uses the response. So neither end accepts a message from anyone
// without the key, the key is never sent, and a response can't be replayed for
// another call.

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"strconv"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Headers of a signed message.
const (
	headerNonce     = "Wisterialb-Nonce"
	headerSignature = "Wisterialb-Signature"
)

const (
	// maxMessageBytes limits the body of a request or response.
	maxMessageBytes = 1 << 20
	nonceBytes      = 12
)

var base64Encoding = base64.RawURLEncoding

// sign returns the HMAC-SHA-256 of the parts. Each part is preceded by its length,
// so that no two lists of parts give the same input.
func sign(key []byte, parts ...[]byte) string {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		_, _ = mac.Write([]byte(strconv.Itoa(len(part))))
		_, _ = mac.Write([]byte{'\n'})
		_, _ = mac.Write(part)
	}
	return base64Encoding.EncodeToString(mac.Sum(nil))
}

func signRequest(key []byte, path, nonce string, body []byte) string {
	return sign(key, []byte("request"), []byte(path), []byte(nonce), body)
}

func signResponse(key []byte, status int, nonce string, body []byte) string {
	return sign(key, []byte("response"), []byte(strconv.Itoa(status)), []byte(nonce), body)
}

// equalSignatures compares in constant time, to leak nothing through timing.
func equalSignatures(a, b string) bool { return hmac.Equal([]byte(a), []byte(b)) }

// signingTransport signs requests and verifies responses.
type signingTransport struct {
	key  []byte
	base http.RoundTripper
}

// RoundTrip sends a signed copy of the request.
func (transport *signingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := readBody(request.Body)
	if err != nil {
		return nil, err
	}
	nonce := newNonce()
	signed := request.Clone(request.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	signed.Header.Set(headerNonce, nonce)
	signed.Header.Set(headerSignature, signRequest(transport.key, request.URL.Path, nonce, body))
	response, err := transport.base.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	return transport.verify(response, nonce)
}

// verify reads the whole response and verifies its signature.
func (transport *signingTransport) verify(response *http.Response, nonce string) (*http.Response, error) {
	body, err := readBody(response.Body)
	if err != nil {
		return nil, err
	}
	expected := signResponse(transport.key, response.StatusCode, nonce, body)
	if !equalSignatures(expected, response.Header.Get(headerSignature)) {
		return nil, fault.New(fault.Config{
			Kind:    fault.Unauthenticated,
			Message: "response is not signed with the routers' key",
			Remedy:  "give all routers the same peer key, and check that the address belongs to a router",
			Outcome: fault.OutcomeUnknown,
		})
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// readBody reads and closes a body. A body over maxMessageBytes is
// fault.TooLarge.
func readBody(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err = errors.Join(err, body.Close()); err != nil {
		return nil, err
	}
	if len(data) > maxMessageBytes {
		return nil, fault.New(fault.Config{
			Kind:    fault.TooLarge,
			Message: "message exceeds " + strconv.Itoa(maxMessageBytes) + " bytes",
			Remedy:  "send fewer items in one message",
		})
	}
	return data, nil
}

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return base64Encoding.EncodeToString(nonce)
}

// signedHandler passes on only requests with a valid signature, and signs the
// responses. With an empty key it refuses all requests.
func signedHandler(key []byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := readBody(request.Body)
		if err != nil {
			http.Error(writer, fault.MessageOf(err), fault.StatusOf(err))
			return
		}
		nonce := request.Header.Get(headerNonce)
		expected := signRequest(key, request.URL.Path, nonce, body)
		if len(key) == 0 || !equalSignatures(expected, request.Header.Get(headerSignature)) {
			http.Error(writer, "request is not signed with the routers' key", http.StatusUnauthorized)
			return
		}
		request = request.Clone(request.Context())
		request.Body = io.NopCloser(bytes.NewReader(body))
		response := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(response, request)
		response.header.Set(headerSignature, signResponse(key, response.status, nonce, response.body.Bytes()))
		response.writeTo(writer)
	})
}

// bufferedResponse is a http.ResponseWriter that buffers a response until it can be
// signed.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the response header.
func (bufferedResponse *bufferedResponse) Header() http.Header { return bufferedResponse.header }

// WriteHeader records the status.
func (bufferedResponse *bufferedResponse) WriteHeader(status int) { bufferedResponse.status = status }

// Write appends to the body.
func (bufferedResponse *bufferedResponse) Write(data []byte) (int, error) {
	return bufferedResponse.body.Write(data)
}

// writeTo sends the response. A write error is ignored: it means that the client
// has disconnected.
func (bufferedResponse *bufferedResponse) writeTo(writer http.ResponseWriter) {
	for name, values := range bufferedResponse.header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(bufferedResponse.status)
	_, _ = writer.Write(bufferedResponse.body.Bytes())
}
