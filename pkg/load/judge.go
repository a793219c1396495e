package load

import (
	"strings"

	"github.com/goccy/go-json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// Violation names a broken guarantee.
type Violation string

// The violations that a run checks for.
const (
	// ViolationWrongAnswer is a complete answer with content other than the
	// expected one.
	ViolationWrongAnswer Violation = "wrong_answer"
	// ViolationTruncated is a partial answer delivered as a complete one.
	ViolationTruncated Violation = "truncated_as_whole"
	// ViolationStreamDisorder is a stream with duplicate or missing events.
	ViolationStreamDisorder Violation = "stream_disorder"
	// ViolationDuplicateRun is a non-idempotent request that ran more than once.
	ViolationDuplicateRun Violation = "doubled_run"
	// ViolationRanAfterNotRun is a request that ran although its caller received
	// not_run. An idempotent request leaves no claim, so not_run covers only its
	// last attempt: if an earlier attempt had an unknown outcome, the request is
	// counted in Report.NotRunAfterUnknown instead.
	ViolationRanAfterNotRun Violation = "ran_though_told_not_run"
	// ViolationAnsweredWithoutRun is an answer to a request that never ran.
	ViolationAnsweredWithoutRun Violation = "answered_without_run"
)

// Finding is one violation by one request.
type Finding struct {
	Violation Violation `json:"violation"`
	Key       string    `json:"key"`
	Kind      Kind      `json:"kind"`
	Runs      int       `json:"runs"`
	Attempts  int       `json:"tries"`
	// UnknownOutcomes counts the attempts that ended with an unknown outcome.
	UnknownOutcomes int    `json:"unknowns"`
	Message         string `json:"message"`
}

// violationCheck reports whether the result has one violation. runCount is the
// number of times the request ran, or -1 without a run record.
type violationCheck func(result Result, runCount int) bool

// violationChecks holds the check for each violation.
var violationChecks = map[Violation]violationCheck{
	ViolationWrongAnswer: func(result Result, _ int) bool {
		return isAnswered(result) && !isCorrectAnswer(result) && !isTruncated(result)
	},
	ViolationTruncated:      func(result Result, _ int) bool { return isAnswered(result) && isTruncated(result) },
	ViolationStreamDisorder: func(result Result, _ int) bool { return result.StreamDisorder },
	ViolationDuplicateRun:   func(result Result, runCount int) bool { return !result.Request.idempotent() && runCount > 1 },
	ViolationRanAfterNotRun: func(result Result, runCount int) bool {
		return ranDespiteNotRun(result, runCount) && !idempotentAfterUnknown(result)
	},
	ViolationAnsweredWithoutRun: func(result Result, runCount int) bool {
		return isAnswered(result) && hasRunRecord(result) && runCount == 0
	},
}

// findViolations returns the violations of one result. runCount is -1 without a
// run record.
func findViolations(result Result, runCount int) []Finding {
	var findings []Finding
	for violation, isViolated := range violationChecks {
		if isViolated(result, runCount) {
			findings = append(findings, Finding{
				Violation:       violation,
				Key:             result.Key,
				Kind:            result.Request.Kind,
				Runs:            runCount,
				Attempts:        result.Attempts,
				UnknownOutcomes: result.UnknownOutcomes,
				Message:         describe(result),
			})
		}
	}
	return findings
}

func ranDespiteNotRun(result Result, runCount int) bool {
	return result.Outcome == fault.NotRun && hasRunRecord(result) && runCount > 0
}

// idempotentAfterUnknown reports whether the request is idempotent and one of its
// attempts had an unknown outcome.
func idempotentAfterUnknown(result Result) bool {
	return result.Request.idempotent() && result.UnknownOutcomes > 0
}

func isAnswered(result Result) bool { return result.Outcome == fault.Answered }

// hasRunRecord reports whether upstreams record runs of this kind of request.
func hasRunRecord(result Result) bool { return result.Request.Kind != KindLookup }

// isTruncated reports whether the text is a proper prefix of the expected
// completion.
func isTruncated(result Result) bool {
	if !kindTable[result.Request.Kind].isCompletion {
		return false
	}
	expected := result.Request.expectedText()
	return result.Text != expected && strings.HasPrefix(expected, result.Text)
}

// isCorrectAnswer recomputes the expected answer and compares it with the text.
func isCorrectAnswer(result Result) bool {
	switch result.Request.Kind {
	case KindBooking:
		var booking standin.Booking
		err := json.Unmarshal([]byte(result.Text), &booking)
		return err == nil && booking.RequestID == result.Key && booking.Echo == string(bookingBody(result.Request, result.Key))
	case KindLookup:
		var stock standin.Stock
		err := json.Unmarshal([]byte(result.Text), &stock)
		return err == nil && stock == standin.StockOf(result.Request.Item)
	default:
		return result.Text == result.Request.expectedText()
	}
}

const maxDescribedTextBytes = 120

func describe(result Result) string {
	text := "outcome " + string(result.Outcome)
	if len(result.History) > 0 {
		text += ", failed attempts: " + strings.Join(result.History, "; ")
	}
	if isAnswered(result) && !isCorrectAnswer(result) {
		text += ", text " + result.Text[:min(len(result.Text), maxDescribedTextBytes)]
	}
	return text
}
