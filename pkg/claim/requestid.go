package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// unixMillisecondDigits is the length of a timestamp prefix in Unix
// milliseconds.
const unixMillisecondDigits = 13

// NewRequestID returns a request id that carries the current time.
func NewRequestID() string {
	return ulid.Make().String()
}

// TimeOf returns the time that a request id carries. A request id is a ULID, a
// UUID of version 7, or 13 digits of Unix milliseconds followed by a hyphen and
// any text. Claims expire, so a registry must know the age of a request to tell
// a new one from a retry whose claim was removed. The error is fault.Invalid.
func TimeOf(requestID string) (time.Time, error) {
	if parsed, err := ulid.ParseStrict(requestID); err == nil {
		return ulid.Time(parsed.Time()), nil
	}
	if parsed, err := uuid.Parse(requestID); err == nil && parsed.Version() == 7 {
		return time.Unix(parsed.Time().UnixTime()), nil
	}
	if digits, _, ok := strings.Cut(requestID, "-"); ok && len(digits) == unixMillisecondDigits {
		if milliseconds, err := strconv.ParseUint(digits, 10, 63); err == nil {
			return time.UnixMilli(int64(milliseconds)), nil
		}
	}
	return time.Time{}, fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "request id " + strconv.Quote(requestID) + " carries no time",
		Remedy:  "send a ULID, a UUID of version 7, or 13 digits of Unix milliseconds followed by a hyphen and any text",
	})
}
