package router

// Admission of a request: who asks, under which profile, for which service,
// until when, and whether it may run again.

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
	bearerPrefix        = "Bearer "
	maxIdempotencyBytes = 128
)

// hopHeaders are of one connection and are never passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Authorization": true, "Accept-Encoding": true,
}

// ticket is what is known of a request once it is admitted.
type ticket struct {
	// id is unique among all callers.
	id         string
	key        string
	caller     configuration.Caller
	profile    configuration.Profile
	service    configuration.Service
	deadline   time.Time
	idempotent bool
	started    time.Time
	remote     string
}

// admit authenticates a request and checks it against its profile.
func (router *Router) admit(ctx context.Context, request *http.Request) (ticket, error) {
	if err := router.checkServing(); err != nil {
		return ticket{}, err
	}
	caller, err := router.authenticate(request)
	if err != nil {
		return ticket{}, err
	}
	profile, err := router.profileOf(ctx, request, caller)
	if err != nil {
		return ticket{}, err
	}
	key, err := idempotencyKey(request)
	if err != nil {
		return ticket{}, err
	}
	now := time.Now()
	deadline, err := router.deadlineOf(request, now)
	if err != nil {
		return ticket{}, err
	}
	return ticket{
		id:       requestID(caller.Name, key),
		key:      key,
		caller:   caller,
		profile:  profile,
		deadline: deadline,
		started:  now,
		remote:   request.RemoteAddr,
	}, nil
}

// callerEscapes keep the end of a caller's name in a request id unambiguous.
var callerEscapes = strings.NewReplacer("%", "%25", ":", "%3A")

// requestID returns an id that no other caller's key gives.
func requestID(caller, key string) string {
	return callerEscapes.Replace(caller) + ":" + key
}

func (router *Router) checkServing() error {
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

func (router *Router) profileOf(ctx context.Context, request *http.Request, caller configuration.Caller) (configuration.Profile, error) {
	// nbhttp keeps the space in front of an empty value.
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

// allowService puts the service on the ticket if the profile allows it.
func (current ticket) allowService(service configuration.Service) (ticket, error) {
	if !slices.Contains(current.profile.Services, service.Name) {
		return ticket{}, forbidden(
			"profile "+current.profile.Name+" may not be spent on service "+service.Name,
			"use a profile that lists the service, or ask the operators to change the profile")
	}
	current.service = service
	return current, nil
}

// WithIdempotent returns the ticket with the caller's statement whether the
// request may run again, or with the default.
func (current ticket) WithIdempotent(request *http.Request, byDefault bool) (ticket, error) {
	current.idempotent = byDefault
	text := headerText(request, headerIdempotent)
	if text == "" {
		return current, nil
	}
	idempotent, err := strconv.ParseBool(text)
	if err != nil {
		return ticket{}, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: headerIdempotent + " is " + strconv.Quote(text),
			Remedy:  "send true or false",
			Cause:   err,
		})
	}
	current.idempotent = idempotent
	return current, nil
}

// headerText returns a header's value without the space that nbhttp keeps of an
// empty one.
func headerText(request *http.Request, name string) string {
	return strings.TrimSpace(request.Header.Get(name))
}

func idempotencyKey(request *http.Request) (string, error) {
	key := headerText(request, headerIdempotencyKey)
	if key == "" {
		return ulid.Make().String(), nil
	}
	if len(key) > maxIdempotencyBytes || strings.ContainsFunc(key, notPrintable) {
		return "", fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: headerIdempotencyKey + " is too long or has characters that are not printable ASCII",
			Remedy:  "send at most " + strconv.Itoa(maxIdempotencyBytes) + " printable ASCII characters, best a ULID",
		})
	}
	return key, nil
}

func notPrintable(char rune) bool {
	return char <= ' ' || char > '~' || char == '/'
}

func (router *Router) deadlineOf(request *http.Request, now time.Time) (time.Time, error) {
	text := headerText(request, headerDeadline)
	if text == "" {
		return now.Add(router.config.DefaultDeadline), nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	allowed := router.config.LongestDeadline.Milliseconds()
	if err != nil || milliseconds < 1 || milliseconds > allowed {
		return time.Time{}, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: headerDeadline + " is " + strconv.Quote(text),
			Remedy:  "send the milliseconds that the caller waits, from 1 to " + strconv.FormatInt(allowed, 10),
			Cause:   err,
		})
	}
	return now.Add(time.Duration(milliseconds) * time.Millisecond), nil
}

func (router *Router) readBody(request *http.Request) ([]byte, error) {
	limit := router.config.MaxBodyBytes
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

// forwardable returns the headers that may be passed to the other side.
func forwardable(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		if hopHeaders[name] || strings.HasPrefix(name, "Wisterialb-") {
			continue
		}
		passed[name] = append([]string(nil), values...)
	}
	return passed
}

// checkHeader refuses values that the transport to upstreams would not send.
func checkHeader(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if strings.ContainsFunc(value, isControl) {
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

func isControl(char rune) bool {
	const lastControl, deletion = 0x1f, 0x7f
	return char != '\t' && (char <= lastControl || char == deletion)
}

func forbidden(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Forbidden, Message: message, Remedy: remedy})
}
