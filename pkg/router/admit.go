package router

// Admission of a request: authenticates the caller, authorizes the profile and
// service, and reads the idempotency key, the deadline and whether the request
// may run more than once.

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	bearerPrefix           = "Bearer "
	maxIdempotencyKeyBytes = 128
)

// unforwardedHeaders apply to one connection or one recipient and are not
// forwarded in either direction.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Authorization": true, "Accept-Encoding": true,
}

// admittedRequest describes a request that passed admission.
type admittedRequest struct {
	// id combines the caller's name and the idempotency key, so that equal keys of
	// two callers give different IDs.
	id             string
	idempotencyKey string
	caller         configuration.Caller
	profile        configuration.Profile
	service        configuration.Service
	deadline       time.Time
	idempotent     bool
	startedAt      time.Time
	remoteAddress  string
}

// admit authenticates a request, authorizes its profile and reads its idempotency
// key and deadline. It does not set the service.
func (router *Router) admit(ctx context.Context, request *http.Request) (admittedRequest, error) {
	if err := router.checkReady(); err != nil {
		return admittedRequest{}, err
	}
	caller, err := router.authenticate(request)
	if err != nil {
		return admittedRequest{}, err
	}
	profile, err := router.authorizeProfile(ctx, request, caller)
	if err != nil {
		return admittedRequest{}, err
	}
	key, err := parseIdempotencyKey(request)
	if err != nil {
		return admittedRequest{}, err
	}
	now := time.Now()
	deadline, err := router.parseDeadline(request, now)
	if err != nil {
		return admittedRequest{}, err
	}
	return admittedRequest{
		id:             requestID(caller.Name, key),
		idempotencyKey: key,
		caller:         caller,
		profile:        profile,
		deadline:       deadline,
		startedAt:      now,
		remoteAddress:  request.RemoteAddr,
	}, nil
}

// callerNameEscaper escapes ":", which separates the caller's name from the key in a
// request ID, and "%", which starts an escape.
var callerNameEscaper = strings.NewReplacer("%", "%25", ":", "%3A")

// requestID combines the caller's name and its idempotency key. Different pairs
// give different IDs.
func requestID(caller, key string) string {
	return callerNameEscaper.Replace(caller) + ":" + key
}

func (router *Router) checkReady() error {
	if router.draining.Load() {
		return fault.New(fault.Config{
			Kind:       fault.Draining,
			Message:    "this router is shutting down",
			Remedy:     "ask /v1/entry for another address and retry there with the same Idempotency-Key",
			RetryAfter: time.Second,
		})
	}
	if !router.membership.IsRegistered() {
		return fault.New(fault.Config{
			Kind:       fault.Unavailable,
			Message:    "this router has no lease yet",
			Remedy:     "retry at another address of /v1/entry",
			RetryAfter: time.Second,
		})
	}
	if !router.follower.Ready() {
		return fault.New(fault.Config{
			Kind:       fault.Unavailable,
			Message:    "this router has no confirmed configuration yet",
			Remedy:     "retry at another address of /v1/entry",
			RetryAfter: time.Second,
		})
	}
	return nil
}

func (router *Router) authenticate(request *http.Request) (configuration.Caller, error) {
	token, ok := strings.CutPrefix(request.Header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return configuration.Caller{}, unauthenticated("the request has no bearer token")
	}
	digest := sha256.Sum256([]byte(token))
	caller, ok := router.follower.View().CallerByTokenHash(hex.EncodeToString(digest[:]))
	if !ok {
		return configuration.Caller{}, unauthenticated("the bearer token is not known")
	}
	return caller, nil
}

func unauthenticated(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unauthenticated,
		Message: message,
		Remedy:  "send Authorization: Bearer with the token of a published caller",
	})
}

func (router *Router) authorizeProfile(ctx context.Context, request *http.Request, caller configuration.Caller) (configuration.Profile, error) {
	// For an empty header, nbhttp leaves the space after the colon in the value.
	name := headerText(request, headerProfile)
	if name == "" {
		return configuration.Profile{}, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "the request names no profile",
			Remedy:  "send " + headerProfile + " with the name of a published profile",
		})
	}
	profile, err := router.follower.Profile(ctx, name)
	if err != nil {
		return configuration.Profile{}, err
	}
	if profile.Retired {
		return configuration.Profile{}, forbidden("profile "+name+" is retired", "use another profile")
	}
	if !slices.Contains(profile.Callers, caller.Name) {
		return configuration.Profile{}, forbidden(
			"caller "+caller.Name+" may not use profile "+name,
			"use a profile that lists the caller, or ask the operators to change the profile")
	}
	return profile, nil
}

// withService returns the request with its service set, or fault.Forbidden if the
// profile does not list the service.
func (admitted admittedRequest) withService(service configuration.Service) (admittedRequest, error) {
	if !slices.Contains(admitted.profile.Services, service.Name) {
		return admittedRequest{}, forbidden(
			"profile "+admitted.profile.Name+" may not be spent on service "+service.Name,
			"use a profile that lists the service, or ask the operators to change the profile")
	}
	admitted.service = service
	return admitted, nil
}

// withIdempotent returns the request with its idempotent flag set from the
// caller's header, or to the default if the header is absent. It returns
// fault.Invalid if the header is not a boolean.
func (admitted admittedRequest) withIdempotent(request *http.Request, defaultValue bool) (admittedRequest, error) {
	admitted.idempotent = defaultValue
	text := headerText(request, headerIdempotent)
	if text == "" {
		return admitted, nil
	}
	idempotent, err := strconv.ParseBool(text)
	if err != nil {
		return admittedRequest{}, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: headerIdempotent + " is " + strconv.Quote(text),
			Remedy:  "send true or false",
			Cause:   err,
		})
	}
	admitted.idempotent = idempotent
	return admitted, nil
}

// headerText returns a header's value without surrounding space, which nbhttp
// leaves in the value of an empty header.
func headerText(request *http.Request, name string) string {
	return strings.TrimSpace(request.Header.Get(name))
}

func parseIdempotencyKey(request *http.Request) (string, error) {
	key := headerText(request, headerIdempotencyKey)
	if key == "" {
		return ulid.Make().String(), nil
	}
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, isInvalidKeyChar) {
		return "", fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: headerIdempotencyKey + " is too long or has characters that are not printable ASCII",
			Remedy:  "send at most " + strconv.Itoa(maxIdempotencyKeyBytes) + " printable ASCII characters, best a ULID",
		})
	}
	return key, nil
}

// isInvalidKeyChar returns false for printable ASCII characters other than space and
// "/", which separates the caller from the idempotency key in the keys of stored
// claims.
func isInvalidKeyChar(char rune) bool {
	return char <= ' ' || char > '~' || char == '/'
}

func (router *Router) parseDeadline(request *http.Request, now time.Time) (time.Time, error) {
	text := headerText(request, headerDeadline)
	if text == "" {
		return now.Add(router.handlerConfig.DefaultDeadline), nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	maxMilliseconds := router.handlerConfig.MaxDeadline.Milliseconds()
	if err != nil || milliseconds < 1 || milliseconds > maxMilliseconds {
		return time.Time{}, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: headerDeadline + " is " + strconv.Quote(text),
			Remedy:  "send the milliseconds that the caller waits, from 1 to " + strconv.FormatInt(maxMilliseconds, 10),
			Cause:   err,
		})
	}
	return now.Add(time.Duration(milliseconds) * time.Millisecond), nil
}

func (router *Router) readBody(request *http.Request) ([]byte, error) {
	limit := router.handlerConfig.MaxBodyBytes
	if request.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	if request.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "the body could not be read",
			Remedy:  "send the whole body",
			Cause:   err,
		})
	}
	if int64(len(body)) > limit {
		return nil, bodyTooLarge(limit)
	}
	return body, nil
}

// forwardableHeader returns a copy of the headers that may be forwarded. It drops
// those in unforwardedHeaders and those with the prefix Wisterialb-.
func forwardableHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if unforwardedHeaders[name] || strings.HasPrefix(name, "Wisterialb-") {
			continue
		}
		forwarded[name] = append([]string(nil), values...)
	}
	return forwarded
}

// checkHeaderValues returns fault.Invalid if a value has a control character, as the
// HTTP client for upstreams cannot send it.
func checkHeaderValues(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if strings.ContainsFunc(value, isControlChar) {
				return fault.New(fault.Config{
					Kind:    fault.Invalid,
					Message: "header " + name + " has a control character",
					Remedy:  "send header values without control characters",
				})
			}
		}
	}
	return nil
}

func isControlChar(char rune) bool {
	const lastControl, del = 0x1f, 0x7f
	return char != '\t' && (char <= lastControl || char == del)
}

func forbidden(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Forbidden, Message: message, Remedy: remedy})
}
