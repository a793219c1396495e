package load

import (
	"strings"

	"github.com/goccy/go-json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// Violation names a broken promise.
type Violation string

// The violations that a judge finds.
const (
	// ViolationMixed is an answer that is not the request's own.
	ViolationMixed Violation = "wrong_answer"
	// ViolationTruncated is a part of an answer delivered as the whole.
	ViolationTruncated Violation = "truncated_as_whole"
	// ViolationDisorder is a stream whose events came twice or with a gap.
	ViolationDisorder Violation = "stream_disorder"
	// ViolationDoubled is a request that ran twice though it must not.
	ViolationDoubled Violation = "doubled_run"
	// ViolationRan is a request that ran though its caller was told not_run. A
	// retry of an idempotent request, which leaves no claim, is told of that try
	// alone: it is counted as NotRunAfterUnknown when an earlier try was lost.
	ViolationRan Violation = "ran_though_told_not_run"
	// ViolationUnrecorded is an answer to a request that never ran.
	ViolationUnrecorded Violation = "answered_without_run"
)

// Finding is one broken promise.
type Finding struct {
	Violation Violation `json:"violation"`
	Key       string    `json:"key"`
	Kind      Kind      `json:"kind"`
	Runs      int       `json:"runs"`
	Tries     int       `json:"tries"`
	// Unknowns counts the tries that were lost.
	Unknowns int    `json:"unknowns"`
	Message  string `json:"message"`
}

// rule finds one violation. It is given how often the request ran, or -1 when no
// record was read.
type rule func(result Result, runs int) bool

// rules is the one table of checks; a new check is one row.
var rules = map[Violation]rule{
	ViolationMixed: func(result Result, _ int) bool {
		return answered(result) && !rightAnswer(result) && !truncated(result)
	},
	ViolationTruncated: func(result Result, _ int) bool { return answered(result) && truncated(result) },
	ViolationDisorder:  func(result Result, _ int) bool { return result.Disorder },
	ViolationDoubled:   func(result Result, runs int) bool { return !result.Request.idempotent() && runs > 1 },
	ViolationRan: func(result Result, runs int) bool {
		return toldNotRunButRan(result, runs) && !excused(result)
	},
	ViolationUnrecorded: func(result Result, runs int) bool {
		return answered(result) && recorded(result) && runs == 0
	},
}

// judge returns the broken promises of one result.
func judge(result Result, runs int) []Finding {
	var findings []Finding
	for violation, breaks := range rules {
		if breaks(result, runs) {
			findings = append(findings, Finding{
				Violation: violation,
				Key:       result.Key,
				Kind:      result.Request.Kind,
				Runs:      runs,
				Tries:     result.Tries,
				Unknowns:  result.Unknowns,
				Message:   describe(result),
			})
		}
	}
	return findings
}

func toldNotRunButRan(result Result, runs int) bool {
	return result.Outcome == fault.NotRun && recorded(result) && runs > 0
}

// excused reports whether an earlier try of an idempotent request was lost.
func excused(result Result) bool {
	return result.Request.idempotent() && result.Unknowns > 0
}

func answered(result Result) bool { return result.Outcome == fault.Answered }

// recorded reports whether the upstreams record runs of the kind.
func recorded(result Result) bool { return result.Request.Kind != KindLookup }

// truncated reports whether a completion is a part of the right one.
func truncated(result Result) bool {
	if !kinds[result.Request.Kind].model {
		return false
	}
	expected := result.Request.expected()
	return result.Text != expected && strings.HasPrefix(expected, result.Text)
}

// rightAnswer recomputes the answer.
func rightAnswer(result Result) bool {
	switch result.Request.Kind {
	case KindBooking:
		var booking standin.Booking
		err := json.Unmarshal([]byte(result.Text), &booking)
		return err == nil && booking.RequestID == result.Key && booking.Echo == string(orderBody(result.Request, result.Key))
	case KindLookup:
		var stock standin.Stock
		err := json.Unmarshal([]byte(result.Text), &stock)
		return err == nil && stock == standin.StockOf(result.Request.Item)
	default:
		return result.Text == result.Request.expected()
	}
}

const describedBytes = 120

func describe(result Result) string {
	text := "told " + string(result.Outcome)
	if len(result.History) > 0 {
		text += " after " + strings.Join(result.History, "; ")
	}
	if answered(result) && !rightAnswer(result) {
		text += ", text " + result.Text[:min(len(result.Text), describedBytes)]
	}
	return text
}
