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

// Token lets one operator in.
type Token struct {
	// Name is written to the audit trail.
	Name string
	// Hash is the hexadecimal SHA-256 of the bearer token.
	Hash string
}

// HashToken returns the hexadecimal SHA-256 of a bearer token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticate admits requests with an operator's token and a bounded body.
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
		ctx := context.WithValue(request.Context(), operatorKey{}, name)
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// readBody reads a body within the bound, in bytes.
func readBody(request *http.Request, bound int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(request.Body, bound+1))
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "the message did not arrive whole: " + err.Error(),
			Remedy:  "send it again",
			Cause:   err,
		})
	}
	if int64(len(body)) > bound {
		return nil, fault.New(fault.Config{
			Kind:    fault.TooLarge,
			Message: fmt.Sprintf("the message is larger than %d bytes", bound),
			Remedy:  "send a smaller document",
		})
	}
	return body, nil
}

// findOperator compares the token with all tokens, in a time that does not tell
// how much of it is right.
func (server *Server) findOperator(header string) (string, bool) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || token == "" {
		return "", false
	}
	hash := []byte(HashToken(token))
	found := ""
	matched := 0
	for _, candidate := range server.config.Tokens {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(candidate.Hash))) == 1 {
			found = candidate.Name
			matched = 1
		}
	}
	return found, matched == 1
}
