// Package budget keeps the spend of every profile within its prepaid limit. It
// works by escrow: a router takes a grant from the budget's row in the table,
// reserves the worst-case cost of each request from that grant in memory, and
// settles the actual usage together with the bill.
package budget

import "time"

// Demand asks for a reservation.
type Demand struct {
	Profile   string
	RequestID string
	// Tokens is the worst-case cost of the request.
	Tokens int64
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
}

// Reservation is an amount reserved for one request.
type Reservation struct {
	Profile   string
	RequestID string
	// Tokens is the reserved amount.
	Tokens int64
}

// LineKind is the kind of a ledger line.
type LineKind string

// The kinds of ledger lines.
const (
	// LineBill is the bill of a request; each request has at most one.
	LineBill LineKind = "bill"
	// LineWaste is the usage of an abandoned or duplicate attempt.
	LineWaste LineKind = "waste"
	// LineUnattributed is the amount that a router had not settled when its
	// holder row was closed.
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
	// Attempt identifies the upstream run that the line charges for. A second
	// bill for the same attempt, for example after a resume, charges only the
	// usage beyond the first bill.
	Attempt string `json:"attempt"`
	// PromptTokens and CompletionTokens are the counts reported by the
	// upstream.
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	// Tokens is the charged amount. It is the whole reservation if the usage is
	// not known.
	Tokens int64 `json:"tokens"`
	// Estimated is set if the usage is not known.
	Estimated bool `json:"estimated"`
	// Router is the incarnation that the tokens were granted to. The escrow sets
	// it.
	Router string `json:"router"`
	// At is when the line was settled. The escrow sets it if it is zero.
	At time.Time `json:"at"`
}

// Settlement ends a reservation and charges its lines. The sum of the lines is
// at most the reservation; the rest is released. Without lines the whole
// reservation is released.
type Settlement struct {
	Reservation Reservation
	Lines       []Line
	// Number is the sequence number of the settlement within its incarnation,
	// starting at 1. The escrow sets it; together with the incarnation it
	// identifies the settlement.
	Number uint64
}

// tokens returns the sum of all lines.
func (settlement Settlement) tokens() int64 {
	var total int64
	for _, line := range settlement.Lines {
		total += line.Tokens
	}
	return total
}

// Statement is the state of a budget. LimitTokens equals FreeTokens plus the
// GrantedTokens of all Holders plus SettledTokens. SettledTokens equals
// BillTokens plus WasteTokens plus UnattributedTokens.
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

// Holder is one router's share of a budget.
type Holder struct {
	Incarnation string `json:"incarnation"`
	// GrantedTokens are held by the router and not yet settled.
	GrantedTokens int64 `json:"granted_tokens"`
	SettledTokens int64 `json:"settled_tokens"`
}
