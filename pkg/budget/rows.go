package budget

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The layout of the table. The rows of one budget that a statement needs share
// one partition, so that one query reads them in one snapshot.
//
//	budget/<profile>            budget                  budgetRow
//	budget/<profile>            holder/<incarnation>    holderRow
//	lines/<profile>             bill/<request id>       lineRow
//	lines/<profile>             waste/<incarnation>/<settlement>/<index>
//	lines/<profile>             unattributed/<incarnation>
//	transfers/<profile>         <transfer id>/<lender>  transferRow
//	operations/<profile>        <operation id>          operationRow
//	incarnation/<incarnation>   sequence                sequenceRow
//	incarnation/<incarnation>   profile/<profile>       profileRow
const (
	budgetSortKey      = "budget"
	holderPrefix       = "holder/"
	billPrefix         = "bill/"
	wastePrefix        = "waste/"
	unattributedPrefix = "unattributed/"
	sequenceSortKey    = "sequence"
	profilePrefix      = "profile/"
)

func budgetPartition(profile string) string { return "budget/" + profile }

func linesPartition(profile string) string { return "lines/" + profile }

func incarnationPartition(incarnation string) string { return "incarnation/" + incarnation }

func budgetKey(profile string) platform.Key {
	return platform.Key{Partition: budgetPartition(profile), Sort: budgetSortKey}
}

func holderKey(profile, incarnation string) platform.Key {
	return platform.Key{Partition: budgetPartition(profile), Sort: holderPrefix + incarnation}
}

func billKey(profile, requestID string) platform.Key {
	return platform.Key{Partition: linesPartition(profile), Sort: billPrefix + requestID}
}

func wasteKey(profile, incarnation string, settlementNumber uint64, index int) platform.Key {
	sortKey := fmt.Sprintf("%s%s/%020d/%04d", wastePrefix, incarnation, settlementNumber, index)
	return platform.Key{Partition: linesPartition(profile), Sort: sortKey}
}

func unattributedKey(profile, incarnation string) platform.Key {
	return platform.Key{Partition: linesPartition(profile), Sort: unattributedPrefix + incarnation}
}

func transferKey(loan Loan) platform.Key {
	return platform.Key{Partition: "transfers/" + loan.Profile, Sort: loan.TransferID + "/" + loan.Lender}
}

func operationKey(profile, operationID string) platform.Key {
	return platform.Key{Partition: "operations/" + profile, Sort: operationID}
}

func sequenceKey(incarnation string) platform.Key {
	return platform.Key{Partition: incarnationPartition(incarnation), Sort: sequenceSortKey}
}

func profileKey(incarnation, profile string) platform.Key {
	return platform.Key{Partition: incarnationPartition(incarnation), Sort: profilePrefix + profile}
}

// totals are the settled tokens by kind of line.
type totals struct {
	BillTokens         int64 `json:"bill_tokens"`
	WasteTokens        int64 `json:"waste_tokens"`
	UnattributedTokens int64 `json:"unattributed_tokens"`
}

func (totals totals) total() int64 {
	return totals.BillTokens + totals.WasteTokens + totals.UnattributedTokens
}

// budgetRow is the state of one budget. It is written when tokens are granted
// or returned and when the limit changes or the profile is retired, but not by
// settlements.
type budgetRow struct {
	// OpeningTokens is the limit at the first publication.
	OpeningTokens int64 `json:"opening_tokens"`
	LimitTokens   int64 `json:"limit_tokens"`
	// TakenTokens is the sum of all grants minus all returns.
	TakenTokens int64 `json:"taken_tokens"`
	// Folded are the totals of holders whose rows were removed.
	Folded totals `json:"folded"`
	// Holders counts the holder rows.
	Holders int64 `json:"holders"`
	// WantedTokens is the shortfall of a router, or the amount by which an
	// operator wants to lower the limit. While it is not zero, holders return
	// idle tokens. Returns and grants lower it.
	WantedTokens int64 `json:"wanted_tokens"`
	Retired      bool  `json:"retired"`
}

func (row budgetRow) freeTokens() int64 {
	return row.LimitTokens - row.TakenTokens
}

// WithGrant adds a grant. It halves WantedTokens, so that the value drops to
// zero even if the router that set it has stopped, and clears it once the free
// tokens cover the rest.
func (row budgetRow) WithGrant(tokens int64) budgetRow {
	row.TakenTokens += tokens
	row.WantedTokens /= 2
	if row.freeTokens() >= row.WantedTokens {
		row.WantedTokens = 0
	}
	return row
}

// WithReturn adds returned tokens.
func (row budgetRow) WithReturn(tokens int64) budgetRow {
	row.TakenTokens -= tokens
	row.WantedTokens = max(0, row.WantedTokens-tokens)
	return row
}

// sequenceRow is the sequence number of the last settlement batch applied.
type sequenceRow struct {
	Sequence uint64 `json:"sequence"`
}

// profileRow is an index row for a profile in which an incarnation has a holder
// row.
type profileRow struct {
	Profile string `json:"profile"`
}

// transferRow records a loan that is written to the holder rows of both
// routers.
type transferRow struct {
	Loan     Loan   `json:"loan"`
	Borrower string `json:"borrower"`
}

// operationRow marks a limit change as applied.
type operationRow struct {
	AddTokens int64 `json:"add_tokens"`
}

// lineRow is a stored line with the number of its settlement.
type lineRow struct {
	Line   Line   `json:"line"`
	Number uint64 `json:"number"`
}
