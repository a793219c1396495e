package budget

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// holderRow is one router's part of a budget. All amounts but the unattributed
// one only grow, so a router that reads its row after a lost answer learns what
// was applied.
type holderRow struct {
	// Revision counts the writes of the row.
	Revision       uint64 `json:"revision"`
	GrantedTokens  int64  `json:"granted_tokens"`
	ReturnedTokens int64  `json:"returned_tokens"`
	// LentTokens and BorrowedTokens are loans that the borrower has recorded.
	LentTokens     int64 `json:"lent_tokens"`
	BorrowedTokens int64 `json:"borrowed_tokens"`
	Settled        sums  `json:"settled"`
	// Closed is set when the router was found dead: all that it holds is
	// unattributed. A later settlement turns unattributed tokens into bills.
	Closed bool `json:"closed"`
}

// netTokens is all that the router received and did not pass on.
func (row holderRow) netTokens() int64 {
	return row.GrantedTokens - row.ReturnedTokens - row.LentTokens + row.BorrowedTokens
}

// outstandingTokens are held and not settled.
func (row holderRow) outstandingTokens() int64 {
	return row.netTokens() - row.Settled.total()
}

// balanced returns the row after a change: one revision on, and with all that a
// closed holder holds counted as unattributed.
func (row holderRow) balanced() holderRow {
	row.Revision++
	row.Settled.UnattributedTokens = 0
	if row.Closed {
		row.Settled.UnattributedTokens = row.outstandingTokens()
	}
	return row
}

// WithGrant adds a grant. Only the holder itself takes grants, so a closed row
// is open again.
func (row holderRow) WithGrant(tokens int64) holderRow {
	row.GrantedTokens += tokens
	row.Closed = false
	return row.balanced()
}

// WithReturn gives a part of the grant back.
func (row holderRow) WithReturn(tokens int64) holderRow {
	row.ReturnedTokens += tokens
	return row.balanced()
}

// WithLent records a loan at the lender.
func (row holderRow) WithLent(tokens int64) holderRow {
	row.LentTokens += tokens
	return row.balanced()
}

// WithBorrowed records a loan at the borrower.
func (row holderRow) WithBorrowed(tokens int64) holderRow {
	row.BorrowedTokens += tokens
	return row.balanced()
}

// WithCharge settles lines.
func (row holderRow) WithCharge(charge sums) holderRow {
	row.Settled.BillTokens += charge.BillTokens
	row.Settled.WasteTokens += charge.WasteTokens
	return row.balanced()
}

// WithClosed counts all that the router holds as unattributed.
func (row holderRow) WithClosed() holderRow {
	row.Closed = true
	return row.balanced()
}

// holderRecord is a holder row with its place in the table.
type holderRecord struct {
	profile     string
	incarnation string
	item        platform.Item
	row         holderRow
}

func newHolderRecord(profile, incarnation string, item platform.Item) (holderRecord, error) {
	row, err := platform.DecodeRow[holderRow](item)
	return holderRecord{profile: profile, incarnation: incarnation, item: item, row: row}, err
}

// writes returns the writes that store the changed row, the index row of a new
// holder, and the unattributed line of a closed one.
func (record holderRecord) writes(changed holderRow) []platform.Write {
	writes := []platform.Write{platform.PutIfUnchanged(record.item, changed)}
	if record.item.Version == 0 {
		writes = append(writes, platform.Write{
			Key:   profileKey(record.incarnation, record.profile),
			Value: platform.EncodeRow(profileRow{Profile: record.profile}),
		})
	}
	if record.row.Closed || changed.Closed {
		writes = append(writes, record.unattributedWrite(changed.Settled.UnattributedTokens))
	}
	return writes
}

func (record holderRecord) unattributedWrite(tokens int64) platform.Write {
	key := unattributedKey(record.profile, record.incarnation)
	if tokens == 0 {
		return platform.Write{Key: key, Action: platform.Delete}
	}
	line := Line{
		Kind:      LineUnattributed,
		Profile:   record.profile,
		Tokens:    tokens,
		Estimated: true,
		Router:    record.incarnation,
		At:        time.Now(),
	}
	return platform.Write{Key: key, Value: platform.EncodeRow(lineRow{Line: line})}
}
