// Package allowance keeps the spend of teams within prepaid budgets although any
// router may be killed, or cut off from the table by a network partition, at any
// moment.
//
// The pool is the part of the budgets that is not granted to any router. A
// holder, one per router, is granted tokens from the pool and publishes a row
// that bounds what it charges (spends or reserves) to a team: at most charged +
// base + rate x (time since the row's stamp). The rate is low at first, because
// a connected holder renews the stamp continuously and writes at once when it
// has used its base. The holder enforces the bound by its own monotonic clock.
// A process that starts under the same name knows that its predecessor is dead.
// It counts the bound at its own start as spent and may use the tokens above it.
//
// Holder reserves tokens in memory (holder.go) within the bound of row.go.
// Keeper publishes the row (keeper.go, table.go) and exchanges grants with its
// slice of the pool (exchange.go, slice.go) at the times set by schedule.go, in
// the amounts computed by plan.go. Requests call Reserve (reserve.go).
package allowance

import "time"

// Terms are the limits that a holder has published for one team. Amounts are
// tokens, counted over all processes that ran under the holder's name.
type Terms struct {
	_ struct{} `cbor:",toarray"`
	// Granted is what was taken from the pool and not returned.
	Granted int64 `json:"g"`
	// Charged is what was spent or reserved at the stamp.
	Charged int64 `json:"c"`
	// Base may be spent at once on top of Charged.
	Base int64 `json:"b,omitempty"`
	// Rate is the number of tokens a second that may be spent on top of Charged
	// and Base; EarlyPeriod of HolderRow reduces it.
	Rate int64 `json:"p,omitempty"`
	// Reported is the part of Charged that is included in the slice's row.
	Reported int64 `json:"r"`
	// Demand is the part of the demand in the slice's row that is this holder's,
	// in tokens a second.
	Demand int64 `json:"d,omitempty"`
}

// Unspent returns the tokens that were granted and not charged.
func (terms Terms) Unspent() int64 { return terms.Granted - terms.Charged }

// HolderRow is the state that a holder publishes in the table.
type HolderRow struct {
	// Process identifies the process that wrote the row.
	Process string `json:"process"`
	// Sequence counts the writes of the process.
	Sequence uint64 `json:"sequence"`
	// Stamp is a time of the table's monotonic clock, at which Charged was read
	// or slightly before.
	Stamp time.Duration `json:"stamp"`
	// EarlyPeriod is the time after the stamp in which only the fraction
	// EarlyFraction of the rate may be spent.
	EarlyPeriod   time.Duration `json:"early"`
	EarlyFraction float64       `json:"early_part"`
	// Estimated is set while the charges of the preceding process are estimated from
	// its row of the stamp EstimatedFrom, and its share is not yet considered.
	Estimated     bool          `json:"estimated,omitempty"`
	EstimatedFrom time.Duration `json:"estimated_from,omitempty"`
	// Undeclared is set while the sums of the slice include Stated, as a restore of the
	// table brought it back, and not what Teams says.
	Undeclared bool             `json:"undeclared,omitempty"`
	Stated     map[string]Terms `json:"stated,omitempty"`
	// Teams maps team names to terms.
	Teams map[string]Terms `json:"teams"`
}

// MaxCharged returns the maximum number of tokens that can have been charged to
// a team when elapsed has passed since the stamp.
func (row HolderRow) MaxCharged(team string, elapsed time.Duration) int64 {
	terms := row.Teams[team]
	earlyElapsed := min(max(elapsed, 0), row.EarlyPeriod)
	fullRateSeconds := earlyElapsed.Seconds()*row.EarlyFraction + (max(elapsed, 0) - earlyElapsed).Seconds()
	return min(terms.Granted, terms.Charged+terms.Base+int64(float64(terms.Rate)*fullRateSeconds))
}

// statedTerms returns what the sums of the slice include of the holder that wrote the
// row, or nil if those are its terms: it has declared them since the last restore.
func (row HolderRow) statedTerms(isCurrent bool) map[string]Terms {
	stated := row.Teams
	switch {
	case row.Undeclared:
		stated = row.Stated
	case isCurrent:
		return nil
	}
	if stated == nil {
		return make(map[string]Terms)
	}
	return stated
}
