package peer

// The flow: the client signs path, nonce and body with the key that all
// routers share; the server checks that before it reads the message, and signs
// its answer together with the nonce; the client checks that before it uses
// the answer. So neither end takes a message from anybody without the key, the
// key never travels, and an answer can't be passed off for another call's.

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

// The headers of a signed message.
const (
	headerNonce     = "Wisterialb-Nonce"
	headerSignature = "Wisterialb-Signature"
)

const (
	// maxMessageBytes bounds a message in either direction.
	maxMessageBytes = 1 << 20
	nonceBytes      = 12
)

var encoding = base64.RawURLEncoding

// sign returns the signature of the parts under the key. Each part goes in with
// its length, so that no two lists of parts give the same input.
func sign(key []byte, parts ...[]byte) string {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		_, _ = mac.Write([]byte(strconv.Itoa(len(part))))
		_, _ = mac.Write([]byte{'\n'})
		_, _ = mac.Write(part)
	}
	return encoding.EncodeToString(mac.Sum(nil))
}

func signRequest(key []byte, path, nonce string, body []byte) string {
	return sign(key, []byte("request"), []byte(path), []byte(nonce), body)
}

func signResponse(key []byte, status int, nonce string, body []byte) string {
	return sign(key, []byte("response"), []byte(strconv.Itoa(status)), []byte(nonce), body)
}

// equalSignatures compares in constant time.
func equalSignatures(a, b string) bool { return hmac.Equal([]byte(a), []byte(b)) }

// signingTransport signs requests and checks answers.
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

// verify reads the answer whole and checks its signature.
func (transport *signingTransport) verify(response *http.Response, nonce string) (*http.Response, error) {
	body, err := readBody(response.Body)
	if err != nil {
		return nil, err
	}
	expected := signResponse(transport.key, response.StatusCode, nonce, body)
	if !equalSignatures(expected, response.Header.Get(headerSignature)) {
		return nil, fault.New(fault.Config{
			Kind:    fault.Unauthenticated,
			Message: "the answer is not signed with the routers' key",
			Remedy:  "give all routers one peer key, and check that the address belongs to a router",
			Outcome: fault.OutcomeUnknown,
		})
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// readBody reads a bounded body and closes it.
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
	return encoding.EncodeToString(nonce)
}

// signedHandler lets only signed requests through and signs the answers. With
// an empty key it lets nothing through.
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
		answer := &bufferedAnswer{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(answer, request)
		answer.header.Set(headerSignature, signResponse(key, answer.status, nonce, answer.body.Bytes()))
		answer.writeTo(writer)
	})
}

// bufferedAnswer holds an answer until it can be signed.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header to be sent.
func (answer *bufferedAnswer) Header() http.Header { return answer.header }

// WriteHeader notes the status.
func (answer *bufferedAnswer) WriteHeader(status int) { answer.status = status }

// Write adds to the body.
func (answer *bufferedAnswer) Write(data []byte) (int, error) { return answer.body.Write(data) }

// writeTo sends the answer. The other end is gone if that fails.
func (answer *bufferedAnswer) writeTo(writer http.ResponseWriter) {
	for name, values := range answer.header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answer.status)
	_, _ = writer.Write(answer.body.Bytes())
}
