package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// millisecondDigits is the length of a time prefix in Unix milliseconds.
const millisecondDigits = 13

// NewRequestID returns a request id that carries the present time.
func NewRequestID() string {
	return ulid.Make().String()
}

// TimeOf returns the time that a request id carries: a ULID, a UUID of version
// 7, or any text behind 13 digits of Unix milliseconds and a hyphen. A claim is
// kept for a stated time, so a registry must know how old a retry is. The error
// is fault.Invalid.
func TimeOf(requestID string) (time.Time, error) {
	if parsed, err := ulid.ParseStrict(requestID); err == nil {
		return ulid.Time(parsed.Time()), nil
	}
	if parsed, err := uuid.Parse(requestID); err == nil && parsed.Version() == 7 {
		return time.Unix(parsed.Time().UnixTime()), nil
	}
	if digits, _, ok := strings.Cut(requestID, "-"); ok && len(digits) == millisecondDigits {
		if milliseconds, err := strconv.ParseUint(digits, 10, 63); err == nil {
			return time.UnixMilli(int64(milliseconds)), nil
		}
	}
	return time.Time{}, fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "request id " + strconv.Quote(requestID) + " carries no time",
		Remedy:  "send a ULID, a UUID of version 7, or Unix milliseconds, a hyphen and an id of your own",
	})
}
