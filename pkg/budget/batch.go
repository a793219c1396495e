package budget

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// batchPlan is what a batch writes, decided on one read of the table.
type batchPlan struct {
	incarnation string
	sequence    platform.Write
	lines       []platform.Write
	holders     map[string]holderRecord
	charges     map[string]sums
	// refunds are tokens that were charged in memory and are in the books of
	// another router. When the answer of the transaction is lost they stay
	// charged until the holder closes.
	refunds map[string]int64
	// stored are the lines that the table has, by key.
	stored map[platform.Key]lineRow
}

// planBatch reads the rows of a batch and decides what to write. It returns
// true when the sequence shows that the batch was applied before.
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
	plan.sequence = platform.PutIfUnchanged(items[0], sequenceRow{Sequence: batch.sequence})
	if err := plan.readHolders(profiles, items[1:1+len(profiles)]); err != nil {
		return nil, false, err
	}
	if err := plan.readLines(items[1+len(profiles):]); err != nil {
		return nil, false, err
	}
	for _, pending := range batch.settlements {
		plan.add(pending.settlement, escrow.isKept(pending))
	}
	return plan, false, nil
}

// isKept reports whether a second router may hold the settlement.
func (escrow *Escrow) isKept(pending *pendingSettlement) bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	return pending.kept
}

func newBatchPlan(incarnation string) *batchPlan {
	return &batchPlan{
		incarnation: incarnation,
		holders:     make(map[string]holderRecord),
		charges:     make(map[string]sums),
		refunds:     make(map[string]int64),
		stored:      make(map[platform.Key]lineRow),
	}
}

// profiles returns the profiles of the batch, each once.
func (batch *batch) profiles() []string {
	var profiles []string
	seen := make(map[string]bool)
	for _, pending := range batch.settlements {
		profile := pending.settlement.Reservation.Profile
		if !seen[profile] {
			seen[profile] = true
			profiles = append(profiles, profile)
		}
	}
	return profiles
}

// keys returns the key of the sequence, of the holders and of the lines.
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

// lineKeys returns for each line the key of a bill and of its waste line.
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
		record, err := newHolderRecord(profile, plan.incarnation, items[i])
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
		plan.stored[item.Key] = row
	}
	return nil
}

// add plans the lines of a settlement. The second bill of a request becomes
// waste. A settlement that was handed to a second router may be in the table
// already; its lines are then left out. So are those of a holder whose row was
// removed: all that it held is in the books of the budget. Lines without tokens
// need no holder row.
func (plan *batchPlan) add(settlement Settlement, kept bool) {
	removed := plan.holders[settlement.Reservation.Profile].item.Version == 0
	if removed && settlement.tokens() > 0 {
		return
	}
	for i, line := range settlement.Lines {
		placement := plan.place(settlement, i, kept)
		if placement.isStored {
			continue
		}
		plan.refunds[line.Profile] += placement.coveredTokens
		line.Tokens -= placement.coveredTokens
		if placement.coveredTokens > 0 && line.Tokens == 0 {
			continue
		}
		line.Kind = placement.kind
		plan.insert(placement.key, lineRow{Line: line, Number: settlement.Number})
	}
}

// placement says where a line goes.
type placement struct {
	key  platform.Key
	kind LineKind
	// isStored is set when the table has the line.
	isStored bool
	// coveredTokens are charged by the stored bill of the same attempt. What an
	// attempt used beyond that bill is charged as waste.
	coveredTokens int64
}

// place decides where a line goes.
func (plan *batchPlan) place(settlement Settlement, index int, kept bool) placement {
	line := settlement.Lines[index]
	waste := placement{key: wasteKey(line.Profile, plan.incarnation, settlement.Number, index), kind: LineWaste}
	if _, ok := plan.stored[waste.key]; ok {
		waste.isStored = true
		return waste
	}
	if line.Kind != LineBill {
		return waste
	}
	bill := billKey(line.Profile, line.RequestID)
	stored, ok := plan.stored[bill]
	switch {
	case !ok:
		return placement{key: bill, kind: LineBill}
	case stored.Line.Router == plan.incarnation && stored.Number == settlement.Number:
		waste.isStored = kept
	case line.Attempt != "" && stored.Line.Attempt == line.Attempt:
		waste.coveredTokens = min(line.Tokens, stored.Line.Tokens)
	}
	return waste
}

func (plan *batchPlan) insert(key platform.Key, row lineRow) {
	plan.stored[key] = row
	plan.lines = append(plan.lines, platform.Insert(key, row))
	charge := plan.charges[row.Line.Profile]
	if row.Line.Kind == LineBill {
		charge.BillTokens += row.Line.Tokens
	} else {
		charge.WasteTokens += row.Line.Tokens
	}
	plan.charges[row.Line.Profile] = charge
}

// changed returns the holder rows after the batch, by profile.
func (plan *batchPlan) changed() map[string]holderRow {
	rows := make(map[string]holderRow)
	for profile, charge := range plan.charges {
		if charge == (sums{}) {
			continue
		}
		rows[profile] = plan.holders[profile].row.WithCharge(charge)
	}
	return rows
}

func (plan *batchPlan) writes() []platform.Write {
	var writes []platform.Write
	if plan.sequence.Key.Partition != "" {
		writes = append(writes, plan.sequence)
	}
	for profile, row := range plan.changed() {
		writes = append(writes, plan.holders[profile].writes(row)...)
	}
	return append(writes, plan.lines...)
}
