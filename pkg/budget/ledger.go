package budget

import (
	"context"
	"errors"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// maxHolders limits the holder rows that a statement reads in one snapshot.
const maxHolders = 10000

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Table platform.Table
	// Retry configures the retries of table calls.
	Retry platform.RetryConfig
}

// Ledger reads and changes budgets for operators. It keeps no state of its own.
type Ledger struct {
	table   platform.Table
	retrier *platform.Retrier
}

// NewLedger returns a Ledger.
func NewLedger(config LedgerConfig) *Ledger {
	return &Ledger{table: config.Table, retrier: platform.NewRetrier(config.Retry)}
}

// Statement reads the state of a budget in one snapshot. The errors are
// fault.NotFound, fault.TooLarge if there are too many holder rows, and
// fault.Unavailable.
func (ledger *Ledger) Statement(ctx context.Context, profile string) (Statement, error) {
	var statement Statement
	err := ledger.retrier.Run(ctx, func(ctx context.Context) error {
		var err error
		statement, err = readStatement(ctx, ledger.table, profile)
		return err
	})
	return statement, err
}

func readStatement(ctx context.Context, table platform.Table, profile string) (Statement, error) {
	items, err := table.Query(ctx, platform.Query{Partition: budgetPartition(profile), Limit: maxHolders})
	if err != nil {
		return Statement{}, err
	}
	if len(items) == 0 || items[0].Key.Sort != budgetSortKey {
		return Statement{}, unknownBudget(profile)
	}
	if len(items) >= maxHolders {
		return Statement{}, tooManyHolders(profile)
	}
	budget, err := platform.DecodeRow[budgetRow](items[0])
	if err != nil {
		return Statement{}, err
	}
	statement := Statement{Profile: profile, LimitTokens: budget.LimitTokens, FreeTokens: budget.freeTokens()}
	settled := budget.Folded
	for _, item := range items[1:] {
		row, err := platform.DecodeRow[holderRow](item)
		if err != nil {
			return Statement{}, err
		}
		settled = settled.plus(row.Settled)
		statement.Holders = append(statement.Holders, Holder{
			Incarnation:   strings.TrimPrefix(item.Key.Sort, holderPrefix),
			GrantedTokens: row.outstandingTokens(),
			SettledTokens: row.Settled.total(),
		})
	}
	statement.BillTokens = settled.BillTokens
	statement.WasteTokens = settled.WasteTokens
	statement.UnattributedTokens = settled.UnattributedTokens
	statement.SettledTokens = settled.total()
	return statement, nil
}

func (totals totals) plus(other totals) totals {
	totals.BillTokens += other.BillTokens
	totals.WasteTokens += other.WasteTokens
	totals.UnattributedTokens += other.UnattributedTokens
	return totals
}

// budgetStatus returns the status of the budget as of this statement.
func (statement Statement) budgetStatus() budgetStatus {
	return budgetStatus{
		isKnown:           true,
		limitTokens:       statement.LimitTokens,
		freeTokens:        statement.FreeTokens,
		recoverableTokens: statement.LimitTokens - statement.SettledTokens,
	}
}

// Lines returns up to limit lines of a profile that follow the cursor, and the
// cursor of the next call. The first cursor is empty; the returned one is empty
// at the end. Lines are ordered by kind and request ID, so a line settled
// between two calls can sort before the cursor and be missed. The error is
// fault.Unavailable.
func (ledger *Ledger) Lines(ctx context.Context, profile, cursor string, limit int) ([]Line, string, error) {
	if limit <= 0 {
		limit = platform.DefaultQueryLimit
	}
	var items []platform.Item
	err := ledger.retrier.Run(ctx, func(ctx context.Context) error {
		var err error
		items, err = ledger.table.Query(ctx, platform.Query{Partition: linesPartition(profile), After: cursor, Limit: limit})
		return err
	})
	if err != nil {
		return nil, "", err
	}
	lines := make([]Line, 0, len(items))
	for _, item := range items {
		row, err := platform.DecodeRow[lineRow](item)
		if err != nil {
			return nil, "", err
		}
		lines = append(lines, row.Line)
	}
	if len(items) < limit {
		return lines, "", nil
	}
	return lines, items[len(items)-1].Key.Sort, nil
}

// CloseIncarnation closes the holder rows of an incarnation in all profiles,
// which makes its outstanding tokens unattributed. It is meant for a router that
// was declared dead, and is safe for one that is only paused: its later
// settlements turn unattributed tokens into bills. It may be repeated. The error
// is fault.Unavailable; the holder rows of some profiles may then be closed
// already.
func (ledger *Ledger) CloseIncarnation(ctx context.Context, incarnation string) error {
	cursor := profilePrefix
	for {
		var items []platform.Item
		err := ledger.retrier.Run(ctx, func(ctx context.Context) error {
			var err error
			items, err = ledger.table.Query(ctx, platform.Query{
				Partition: incarnationPartition(incarnation), Prefix: profilePrefix, After: cursor,
			})
			return err
		})
		if err != nil || len(items) == 0 {
			return err
		}
		if err := ledger.closeHolders(ctx, incarnation, items); err != nil {
			return err
		}
		cursor = items[len(items)-1].Key.Sort
	}
}

func (ledger *Ledger) closeHolders(ctx context.Context, incarnation string, items []platform.Item) error {
	var failures []error
	for _, item := range items {
		row, err := platform.DecodeRow[profileRow](item)
		if err == nil {
			err = ledger.closeHolder(ctx, row.Profile, incarnation)
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (ledger *Ledger) closeHolder(ctx context.Context, profile, incarnation string) error {
	return ledger.retrier.Run(ctx, func(ctx context.Context) error {
		items, err := ledger.table.Get(ctx, holderKey(profile, incarnation))
		if err != nil {
			return err
		}
		record, err := decodeHolderRecord(profile, incarnation, items[0])
		if err != nil || items[0].Version == 0 || record.row.Closed {
			return err
		}
		return ledger.table.Transact(ctx, platform.Transaction{Writes: record.writes(record.row.WithClosed())})
	})
}
