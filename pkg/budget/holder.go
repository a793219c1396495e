package budget

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// holderRow is one router's share of a budget. All amounts except the
// unattributed one only grow, so after a lost response the router can tell from
// its row what was applied.
type holderRow struct {
	// Revision counts the writes of the row.
	Revision       uint64 `json:"revision"`
	GrantedTokens  int64  `json:"granted_tokens"`
	ReturnedTokens int64  `json:"returned_tokens"`
	// LentTokens and BorrowedTokens count only loans that the borrower has
	// recorded.
	LentTokens     int64  `json:"lent_tokens"`
	BorrowedTokens int64  `json:"borrowed_tokens"`
	Settled        totals `json:"settled"`
	// Closed is set when the router is declared dead or shuts down with tokens
	// outstanding. All outstanding tokens are then unattributed. A later
	// settlement turns unattributed tokens into bills.
	Closed bool `json:"closed"`
}

// netTokens returns the tokens received minus those returned or lent.
func (row holderRow) netTokens() int64 {
	return row.GrantedTokens - row.ReturnedTokens - row.LentTokens + row.BorrowedTokens
}

// outstandingTokens returns the tokens that are held and not settled.
func (row holderRow) outstandingTokens() int64 {
	return row.netTokens() - row.Settled.total()
}

// withNextRevision returns the row with the next revision. If the holder is
// closed, all its outstanding tokens are counted as unattributed.
func (row holderRow) withNextRevision() holderRow {
	row.Revision++
	row.Settled.UnattributedTokens = 0
	if row.Closed {
		row.Settled.UnattributedTokens = row.outstandingTokens()
	}
	return row
}

// WithGrant adds a grant. It reopens a closed row, since only the router itself
// takes grants and so must still be running.
func (row holderRow) WithGrant(tokens int64) holderRow {
	row.GrantedTokens += tokens
	row.Closed = false
	return row.withNextRevision()
}

// WithReturn adds returned tokens.
func (row holderRow) WithReturn(tokens int64) holderRow {
	row.ReturnedTokens += tokens
	return row.withNextRevision()
}

// WithLent adds a loan given.
func (row holderRow) WithLent(tokens int64) holderRow {
	row.LentTokens += tokens
	return row.withNextRevision()
}

// WithBorrowed adds a loan received.
func (row holderRow) WithBorrowed(tokens int64) holderRow {
	row.BorrowedTokens += tokens
	return row.withNextRevision()
}

// WithCharge adds settled lines.
func (row holderRow) WithCharge(charge totals) holderRow {
	row.Settled.BillTokens += charge.BillTokens
	row.Settled.WasteTokens += charge.WasteTokens
	return row.withNextRevision()
}

// WithClosed closes the row, which makes all outstanding tokens unattributed.
func (row holderRow) WithClosed() holderRow {
	row.Closed = true
	return row.withNextRevision()
}

// holderRecord is a holder row with its profile, its incarnation and the table
// item it was read from.
type holderRecord struct {
	profile     string
	incarnation string
	item        platform.Item
	row         holderRow
}

func decodeHolderRecord(profile, incarnation string, item platform.Item) (holderRecord, error) {
	row, err := platform.DecodeRow[holderRow](item)
	return holderRecord{profile: profile, incarnation: incarnation, item: item, row: row}, err
}

// writes returns the writes of the new row, of the index row for a new holder,
// and of the unattributed line for a closed one.
func (record holderRecord) writes(newRow holderRow) []platform.Write {
	writes := []platform.Write{platform.PutIfUnchanged(record.item, newRow)}
	if record.item.Version == 0 {
		writes = append(writes, platform.Write{
			Key:   profileKey(record.incarnation, record.profile),
			Value: platform.EncodeRow(profileRow{Profile: record.profile}),
		})
	}
	if record.row.Closed || newRow.Closed {
		writes = append(writes, record.unattributedWrite(newRow.Settled.UnattributedTokens))
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
