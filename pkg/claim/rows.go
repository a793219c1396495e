package claim

import (
	"net/url"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Layout of the table. Claims whose request ids carry a time in the same hour
// share a partition, so that expired claims are removed an hour at a time. A
// sealed hour accepts no new claims.
//
//	claims/<hour>     <scope>/<request id>   claimRow
//	claim_seals       <hour>                 sealRow
//	claim_retention   next                   retentionRow
const (
	sealPartition      = "claim_seals"
	retentionPartition = "claim_retention"
	retentionSort      = "next"
	hourLayout         = "2006010215"
)

// hour identifies a UTC hour, formatted with hourLayout.
type hour string

func hourOf(timestamp time.Time) hour {
	return hour(timestamp.UTC().Format(hourLayout))
}

func (hour hour) start() (time.Time, error) {
	return time.Parse(hourLayout, string(hour))
}

func (hour hour) sealKey() platform.Key {
	return platform.Key{Partition: sealPartition, Sort: string(hour)}
}

func (hour hour) partition() string {
	return "claims/" + string(hour)
}

func retentionKey() platform.Key {
	return platform.Key{Partition: retentionPartition, Sort: retentionSort}
}

func (hour hour) claimKey(request Request) platform.Key {
	return platform.Key{Partition: hour.partition(), Sort: url.PathEscape(request.Scope) + "/" + request.RequestID}
}

// claimRow is a stored claim.
type claimRow struct {
	State State  `json:"state"`
	Owner string `json:"owner"`
	// RunID identifies the run that wrote the claim, so that the router
	// recognizes its own claim if the response to the write was lost.
	RunID string `json:"run"`
	// Fingerprint is the fingerprint of the request; see Request.
	Fingerprint string `json:"fingerprint,omitempty"`
	Result      Result `json:"result"`
	Reason      string `json:"reason"`
	// ClaimedAt is when the claim was written, by the clock of its router.
	ClaimedAt time.Time `json:"at"`
}

// newClaimRow returns the row of a running claim.
func newClaimRow(owner string, entry *entry) claimRow {
	return claimRow{
		State:       Running,
		Owner:       owner,
		RunID:       entry.runID,
		Fingerprint: entry.request.Fingerprint,
		ClaimedAt:   time.Now(),
	}
}

func (row claimRow) decision() Decision {
	return Decision{State: row.State, Owner: row.Owner, Result: row.Result, Reason: row.Reason}
}

// hasOtherFingerprint reports whether the row claims the request id for a request
// with different content. An empty fingerprint matches all.
func (row claimRow) hasOtherFingerprint(request Request) bool {
	return row.Fingerprint != "" && request.Fingerprint != "" && row.Fingerprint != request.Fingerprint
}

// withFinalState returns a copy of the row in its final state.
func (row claimRow) withFinalState(state State, result Result, reason string) claimRow {
	row.State = state
	row.Result = result
	row.Reason = reason
	return row
}

// sealRow marks an hour whose claims are being removed or have been removed.
type sealRow struct {
	// SealedBy is the incarnation of the router that sealed the hour.
	SealedBy string `json:"by"`
}

// retentionRow holds the next hour whose claims are to be removed.
type retentionRow struct {
	NextHour hour `json:"next"`
}

// decode decodes the row of an item. The error has the outcome OutcomeUnknown,
// since an unreadable row may be the claim of a running request.
func decode[Row any](item platform.Item) (Row, error) {
	row, err := platform.DecodeRow[Row](item)
	if err != nil {
		return row, fault.WithOutcome(err, fault.OutcomeUnknown)
	}
	return row, nil
}
