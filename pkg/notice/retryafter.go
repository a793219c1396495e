package notice

import (
	"strconv"
	"strings"
	"time"
)

const (
	// maxPause bounds one pause, so that one odd answer doesn't take an upstream out
	// for good.
	maxPause = 10 * time.Minute
	// maxRetryAfterLength is the maximum length of the text of a Retry-After header.
	maxRetryAfterLength = 32
)

// ParseRetryAfter decodes a Retry-After header in seconds, which may have a fraction.
// It returns zero for zero, for an HTTP date and for any text that isn't a plain
// decimal number, and at most ten minutes.
func ParseRetryAfter(text string) time.Duration {
	text = strings.TrimSpace(text)
	if len(text) > maxRetryAfterLength || strings.Trim(text, "0123456789.") != "" {
		return 0 // ParseFloat also accepts signs, exponents, NaN and infinity
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	if seconds >= maxPause.Seconds() {
		return maxPause
	}
	return time.Duration(seconds * float64(time.Second))
}
