package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Token is the credential of one operator.
type Token struct {
	// Name identifies the operator in the audit trail.
	Name string
	// Hash is the SHA-256 of the bearer token, in hexadecimal.
	Hash string
}

// HashToken returns the SHA-256 of a bearer token, in lower-case hexadecimal.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// operatorFromContext returns the name of the authenticated operator, or the
// empty string.
func operatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// authenticate refuses requests without an operator's token or with a body above
// the size limit.
func (server *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		name, ok := server.findOperator(request.Header.Get(authorizationHeader))
		if !ok {
			server.refuse(writer, fault.New(fault.Config{
				Kind:    fault.Unauthenticated,
				Message: "no operator has this token",
				Remedy:  "use the token of an operator that the router's settings list",
			}))
			return
		}
		body, err := readBody(request, server.config.MaxBodyBytes)
		if err != nil {
			server.refuse(writer, err)
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		ctx := context.WithValue(request.Context(), operatorContextKey{}, name)
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// readBody reads the body of a request, which fails if it exceeds maxBytes.
func readBody(request *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBytes+1))
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "the message is incomplete: " + err.Error(),
			Remedy:  "send it again",
			Cause:   err,
		})
	}
	if int64(len(body)) > maxBytes {
		return nil, fault.New(fault.Config{
			Kind:    fault.TooLarge,
			Message: fmt.Sprintf("the message is larger than %d bytes", maxBytes),
			Remedy:  "send a smaller document",
		})
	}
	return body, nil
}

// findOperator returns the name of the operator with the token in the header. It
// compares in constant time, because the duration of an early mismatch would
// reveal how much of a guessed token is right.
func (server *Server) findOperator(header string) (string, bool) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || token == "" {
		return "", false
	}
	hash := []byte(HashToken(token))
	name := ""
	matched := 0
	for _, candidate := range server.config.Tokens {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(candidate.Hash))) == 1 {
			name = candidate.Name
			matched = 1
		}
	}
	return name, matched == 1
}
