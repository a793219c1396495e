// Package budget keeps the spend of every profile inside its prepaid limit by
// escrow: a router takes a grant from the budget's row in the table, reserves
// the worst case of each request out of it in memory, and settles what was
// used together with the bill.
package budget

import "time"

// Demand asks for a reservation.
type Demand struct {
	Profile   string
	RequestID string
	// Tokens is the worst case of the request.
	Tokens int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Reservation is an amount set aside for one request.
type Reservation struct {
	Profile   string
	RequestID string
	// Tokens is the amount set aside.
	Tokens int64
}

// LineKind says what a ledger line charges for.
type LineKind string

// The kinds of ledger lines.
const (
	// LineBill is the one bill of a request.
	LineBill LineKind = "bill"
	// LineWaste is what an abandoned or duplicate attempt used.
	LineWaste LineKind = "waste"
	// LineUnattributed is what a dead router had not settled.
	LineUnattributed LineKind = "unattributed"
)

// Line is one entry of the ledger.
type Line struct {
	Kind      LineKind `json:"kind"`
	Profile   string   `json:"profile"`
	RequestID string   `json:"request_id"`
	Caller    string   `json:"caller"`
	Team      string   `json:"team"`
	Service   string   `json:"service"`
	// Attempt is the upstream run that the line charges for. A second bill for
	// the same attempt, as after a resume, charges only what the first did not.
	Attempt string `json:"attempt"`
	// PromptTokens and CompletionTokens are as the upstream reported them.
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	// Tokens is what is charged. It is the whole reservation when the usage
	// is not known.
	Tokens int64 `json:"tokens"`
	// Estimated is set when the usage is not known.
	Estimated bool      `json:"estimated"`
	Router    string    `json:"router"`
	At        time.Time `json:"at"`
}

// Settlement ends a reservation with what has to be charged. The sum of the
// lines is at most the reservation; the rest returns to the grant. Without
// lines the whole reservation returns.
type Settlement struct {
	Reservation Reservation
	Lines       []Line
	// Number counts the settlements of one incarnation from 1. The escrow sets
	// it; together with the incarnation it identifies the settlement.
	Number uint64
}

// tokens returns what all lines charge together.
func (settlement Settlement) tokens() int64 {
	var total int64
	for _, line := range settlement.Lines {
		total += line.Tokens
	}
	return total
}

// Statement is the state of a budget. It adds up:
// LimitTokens = FreeTokens + sum of Holders' GrantedTokens + SettledTokens and
// SettledTokens = BillTokens + WasteTokens + UnattributedTokens.
type Statement struct {
	Profile            string   `json:"profile"`
	LimitTokens        int64    `json:"limit_tokens"`
	FreeTokens         int64    `json:"free_tokens"`
	SettledTokens      int64    `json:"settled_tokens"`
	BillTokens         int64    `json:"bill_tokens"`
	WasteTokens        int64    `json:"waste_tokens"`
	UnattributedTokens int64    `json:"unattributed_tokens"`
	Holders            []Holder `json:"holders"`
}

// Holder is one router's part of a budget.
type Holder struct {
	Incarnation string `json:"incarnation"`
	// GrantedTokens are held and not yet settled.
	GrantedTokens int64 `json:"granted_tokens"`
	SettledTokens int64 `json:"settled_tokens"`
}
