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
	budgetSort         = "budget"
	holderPrefix       = "holder/"
	billPrefix         = "bill/"
	wastePrefix        = "waste/"
	unattributedPrefix = "unattributed/"
	sequenceSort       = "sequence"
	profilePrefix      = "profile/"
)

func budgetPartition(profile string) string { return "budget/" + profile }

func linesPartition(profile string) string { return "lines/" + profile }

func incarnationPartition(incarnation string) string { return "incarnation/" + incarnation }

func budgetKey(profile string) platform.Key {
	return platform.Key{Partition: budgetPartition(profile), Sort: budgetSort}
}

func holderKey(profile, incarnation string) platform.Key {
	return platform.Key{Partition: budgetPartition(profile), Sort: holderPrefix + incarnation}
}

func billKey(profile, requestID string) platform.Key {
	return platform.Key{Partition: linesPartition(profile), Sort: billPrefix + requestID}
}

func wasteKey(profile, incarnation string, number uint64, index int) platform.Key {
	sort := fmt.Sprintf("%s%s/%020d/%04d", wastePrefix, incarnation, number, index)
	return platform.Key{Partition: linesPartition(profile), Sort: sort}
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
	return platform.Key{Partition: incarnationPartition(incarnation), Sort: sequenceSort}
}

func profileKey(incarnation, profile string) platform.Key {
	return platform.Key{Partition: incarnationPartition(incarnation), Sort: profilePrefix + profile}
}

// sums are the settled amounts by the kind of line.
type sums struct {
	BillTokens         int64 `json:"bill_tokens"`
	WasteTokens        int64 `json:"waste_tokens"`
	UnattributedTokens int64 `json:"unattributed_tokens"`
}

func (sums sums) total() int64 {
	return sums.BillTokens + sums.WasteTokens + sums.UnattributedTokens
}

// budgetRow is the state of one budget. It is written when grants are taken or
// returned and when the limit changes, never by a settlement.
type budgetRow struct {
	// OpeningTokens is the limit at the first publication.
	OpeningTokens int64 `json:"opening_tokens"`
	LimitTokens   int64 `json:"limit_tokens"`
	// TakenTokens is the sum of all grants less what was returned.
	TakenTokens int64 `json:"taken_tokens"`
	// Folded are the sums of holders whose rows were removed.
	Folded sums `json:"folded"`
	// Holders counts the holder rows.
	Holders int64 `json:"holders"`
	// WantedTokens is set while a router is short, or an operator wants to lower
	// the limit; holders then return idle tokens. Returns and grants lower it.
	WantedTokens int64 `json:"wanted_tokens"`
	Retired      bool  `json:"retired"`
}

func (row budgetRow) freeTokens() int64 {
	return row.LimitTokens - row.TakenTokens
}

// WithGrant takes tokens. The mark of a shortage goes once it is met, and else
// halves, so that it does not outlast the one who set it.
func (row budgetRow) WithGrant(tokens int64) budgetRow {
	row.TakenTokens += tokens
	row.WantedTokens /= 2
	if row.freeTokens() >= row.WantedTokens {
		row.WantedTokens = 0
	}
	return row
}

// WithReturn gives tokens back.
func (row budgetRow) WithReturn(tokens int64) budgetRow {
	row.TakenTokens -= tokens
	row.WantedTokens = max(0, row.WantedTokens-tokens)
	return row
}

// sequenceRow names the last settlement batch that was applied.
type sequenceRow struct {
	Sequence uint64 `json:"sequence"`
}

// profileRow lists a profile that an incarnation holds a part of.
type profileRow struct {
	Profile string `json:"profile"`
}

// transferRow records a loan in the books of both routers.
type transferRow struct {
	Loan     Loan   `json:"loan"`
	Borrower string `json:"borrower"`
}

// operationRow marks a change of the limit as applied.
type operationRow struct {
	AddTokens int64 `json:"add_tokens"`
}

// lineRow is a stored line with the settlement that wrote it.
type lineRow struct {
	Line   Line   `json:"line"`
	Number uint64 `json:"number"`
}
