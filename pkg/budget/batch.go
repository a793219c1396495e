package budget

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// batchPlan holds the writes of a batch, planned from one read of the table.
type batchPlan struct {
	incarnation   string
	sequenceWrite platform.Write
	lineWrites    []platform.Write
	holders       map[string]holderRecord
	charges       map[string]totals
	// refunds are tokens, by profile, that were charged in memory but are already
	// billed by another router. If the response to the transaction is lost, they
	// stay charged until the holder row is closed.
	refunds map[string]int64
	// storedLines are the lines read from the table or planned by this batch.
	storedLines map[platform.Key]lineRow
}

// planBatch reads the rows of a batch and plans its writes. It returns true if
// the stored sequence shows that the batch was applied before.
func (escrow *Escrow) planBatch(ctx context.Context, batch *batch) (*batchPlan, bool, error) {
	profiles := batch.profiles()
	keys := batch.keys(escrow.config.Incarnation, profiles)
	items, err := escrow.table.Get(ctx, keys...)
	if err != nil {
		return nil, false, err
	}
	sequence, err := platform.DecodeRow[sequenceRow](items[0])
	if err != nil {
		return nil, false, err
	}
	if sequence.Sequence >= batch.sequence {
		return nil, true, nil
	}
	plan := newBatchPlan(escrow.config.Incarnation)
	plan.sequenceWrite = platform.PutIfUnchanged(items[0], sequenceRow{Sequence: batch.sequence})
	if err := plan.readHolders(profiles, items[1:1+len(profiles)]); err != nil {
		return nil, false, err
	}
	if err := plan.readLines(items[1+len(profiles):]); err != nil {
		return nil, false, err
	}
	for _, pending := range batch.settlements {
		plan.addSettlement(pending.settlement, escrow.mayHaveBackup(pending))
	}
	return plan, false, nil
}

// mayHaveBackup reports whether a backup router may hold the settlement.
func (escrow *Escrow) mayHaveBackup(pending *pendingSettlement) bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	return pending.backupSent
}

func newBatchPlan(incarnation string) *batchPlan {
	return &batchPlan{
		incarnation: incarnation,
		holders:     make(map[string]holderRecord),
		charges:     make(map[string]totals),
		refunds:     make(map[string]int64),
		storedLines: make(map[platform.Key]lineRow),
	}
}

// profiles returns the distinct profiles of the batch.
func (batch *batch) profiles() []string {
	var profiles []string
	included := make(map[string]bool)
	for _, pending := range batch.settlements {
		profile := pending.settlement.Reservation.Profile
		if !included[profile] {
			included[profile] = true
			profiles = append(profiles, profile)
		}
	}
	return profiles
}

// keys returns the keys of the sequence, of the holder rows and of the lines.
func (batch *batch) keys(incarnation string, profiles []string) []platform.Key {
	keys := []platform.Key{sequenceKey(incarnation)}
	for _, profile := range profiles {
		keys = append(keys, holderKey(profile, incarnation))
	}
	for _, pending := range batch.settlements {
		keys = append(keys, lineKeys(pending.settlement, incarnation)...)
	}
	return keys
}

// lineKeys returns, for each line, the key of its waste line and, for a bill,
// also the key of the bill.
func lineKeys(settlement Settlement, incarnation string) []platform.Key {
	var keys []platform.Key
	for i, line := range settlement.Lines {
		if line.Kind == LineBill {
			keys = append(keys, billKey(line.Profile, line.RequestID))
		}
		keys = append(keys, wasteKey(line.Profile, incarnation, settlement.Number, i))
	}
	return keys
}

func (plan *batchPlan) readHolders(profiles []string, items []platform.Item) error {
	for i, profile := range profiles {
		record, err := decodeHolderRecord(profile, plan.incarnation, items[i])
		if err != nil {
			return err
		}
		plan.holders[profile] = record
	}
	return nil
}

func (plan *batchPlan) readLines(items []platform.Item) error {
	for _, item := range items {
		if item.Version == 0 {
			continue
		}
		row, err := platform.DecodeRow[lineRow](item)
		if err != nil {
			return err
		}
		plan.storedLines[item.Key] = row
	}
	return nil
}

// addSettlement plans the lines of a settlement. A second bill for the same
// request is recorded as waste. Lines that are already in the table are
// skipped, since a backup router may have written them. Lines with tokens are
// also skipped if the holder row was removed, because its totals are already
// part of the budget row. Lines without tokens need no holder row.
func (plan *batchPlan) addSettlement(settlement Settlement, mayHaveBackup bool) {
	holderRemoved := plan.holders[settlement.Reservation.Profile].item.Version == 0
	if holderRemoved && settlement.tokens() > 0 {
		return
	}
	for i, line := range settlement.Lines {
		target := plan.resolveLine(settlement, i, mayHaveBackup)
		if target.isStored {
			continue
		}
		plan.refunds[line.Profile] += target.alreadyBilledTokens
		line.Tokens -= target.alreadyBilledTokens
		if target.alreadyBilledTokens > 0 && line.Tokens == 0 {
			continue
		}
		line.Kind = target.kind
		plan.insertLine(target.key, lineRow{Line: line, Number: settlement.Number})
	}
}

// lineTarget is the key and kind with which a line is written.
type lineTarget struct {
	key  platform.Key
	kind LineKind
	// isStored is set if the table already has the line.
	isStored bool
	// alreadyBilledTokens are the tokens of the line that the stored bill of the
	// same attempt covers. Usage beyond that bill is charged as waste.
	alreadyBilledTokens int64
}

// resolveLine determines the key and kind of a line.
func (plan *batchPlan) resolveLine(settlement Settlement, index int, mayHaveBackup bool) lineTarget {
	line := settlement.Lines[index]
	waste := lineTarget{key: wasteKey(line.Profile, plan.incarnation, settlement.Number, index), kind: LineWaste}
	if _, ok := plan.storedLines[waste.key]; ok {
		waste.isStored = true
		return waste
	}
	if line.Kind != LineBill {
		return waste
	}
	key := billKey(line.Profile, line.RequestID)
	stored, ok := plan.storedLines[key]
	switch {
	case !ok:
		return lineTarget{key: key, kind: LineBill}
	case stored.Line.Router == plan.incarnation && stored.Number == settlement.Number:
		waste.isStored = mayHaveBackup
	case line.Attempt != "" && stored.Line.Attempt == line.Attempt:
		waste.alreadyBilledTokens = min(line.Tokens, stored.Line.Tokens)
	}
	return waste
}

func (plan *batchPlan) insertLine(key platform.Key, row lineRow) {
	plan.storedLines[key] = row
	plan.lineWrites = append(plan.lineWrites, platform.Insert(key, row))
	charge := plan.charges[row.Line.Profile]
	if row.Line.Kind == LineBill {
		charge.BillTokens += row.Line.Tokens
	} else {
		charge.WasteTokens += row.Line.Tokens
	}
	plan.charges[row.Line.Profile] = charge
}

// newRows returns the holder rows after the batch, by profile.
func (plan *batchPlan) newRows() map[string]holderRow {
	rows := make(map[string]holderRow)
	for profile, charge := range plan.charges {
		if charge == (totals{}) {
			continue
		}
		rows[profile] = plan.holders[profile].row.WithCharge(charge)
	}
	return rows
}

func (plan *batchPlan) writes() []platform.Write {
	var writes []platform.Write
	if plan.sequenceWrite.Key.Partition != "" {
		writes = append(writes, plan.sequenceWrite)
	}
	for profile, row := range plan.newRows() {
		writes = append(writes, plan.holders[profile].writes(row)...)
	}
	return append(writes, plan.lineWrites...)
}
