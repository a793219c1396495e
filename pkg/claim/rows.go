package claim

import (
	"net/url"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The layout of the table. Claims of one hour, by the time that the request id
// carries, share a partition, so that old ones are removed an hour at a time. A
// sealed hour accepts no claim any more.
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

// hour names an hour of request ids.
type hour string

func hourOf(at time.Time) hour {
	return hour(at.UTC().Format(hourLayout))
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
	// Run identifies the run that wrote the claim, so that it knows its own
	// claim after a lost answer.
	Run string `json:"run"`
	// Fingerprint is that of the request; see Request.
	Fingerprint string    `json:"fingerprint,omitempty"`
	Result      Result    `json:"result"`
	Reason      string    `json:"reason"`
	At          time.Time `json:"at"`
}

// newClaimRow returns the row of a running claim.
func newClaimRow(owner string, entry *entry) claimRow {
	return claimRow{
		State:       Running,
		Owner:       owner,
		Run:         entry.run,
		Fingerprint: entry.request.Fingerprint,
		At:          time.Now(),
	}
}

func (row claimRow) decision() Decision {
	return Decision{State: row.State, Owner: row.Owner, Result: row.Result, Reason: row.Reason}
}

// isOfAnother reports whether the row claims the request id for other content.
func (row claimRow) isOfAnother(request Request) bool {
	return row.Fingerprint != "" && request.Fingerprint != "" && row.Fingerprint != request.Fingerprint
}

// WithEnd returns the row in its last state.
func (row claimRow) WithEnd(state State, result Result, reason string) claimRow {
	row.State = state
	row.Result = result
	row.Reason = reason
	return row
}

// sealRow marks an hour whose claims are being or have been removed.
type sealRow struct {
	By string `json:"by"`
}

// retentionRow names the next hour to be removed.
type retentionRow struct {
	Next hour `json:"next"`
}

// decode reads the row of an item. The error leaves the outcome unknown, since
// the row may be a claim.
func decode[Row any](item platform.Item) (Row, error) {
	row, err := platform.DecodeRow[Row](item)
	if err != nil {
		return row, fault.WithOutcome(err, fault.OutcomeUnknown)
	}
	return row, nil
}
