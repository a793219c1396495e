package budget

import (
	"context"
	"maps"
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The flow of a held bill: a settlement that the table does not take in time goes to a second router as well, and to another one as long as it
// waits. Each of them settles it once the owner is closed, and drops it once the
// owner has settled it. All write the same keys, and the owner's holder row
// orders them, so the bill stands once.

const (
	// keepAge is how long a settlement waits for the table alone after the
	// interval of settlements.
	keepAge = 250 * time.Millisecond
	// keepAgain is the time between two routers that are sent a settlement which
	// still waits: the first of them may be gone.
	keepAgain = 2 * time.Second
	// keptChunk is the number of held settlements that are read in one call.
	keptChunk = 25
	// maxKept bounds the settlements that are held for one other router.
	maxKept = 50000
)

// Keep holds settlements of another router until that router has settled them
// or is closed. The errors are fault.Draining and fault.Overloaded.
func (escrow *Escrow) Keep(_ context.Context, owner string, settlements []Settlement) error {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	if escrow.draining {
		return drainingError()
	}
	kept := escrow.kept[owner]
	if kept == nil {
		kept = make(map[uint64]Settlement)
		escrow.kept[owner] = kept
	}
	if len(kept)+len(settlements) > maxKept {
		return fault.New(fault.Config{
			Kind:    fault.Overloaded,
			Message: "this router holds too many settlements of " + owner,
			Remedy:  "ask another router",
		})
	}
	for _, settlement := range settlements {
		kept[settlement.Number] = settlement
	}
	return nil
}

// handOver sends settlements older than age to a second router.
func (escrow *Escrow) handOver(ctx context.Context, age time.Duration) {
	if escrow.config.Keeper == nil {
		return
	}
	handed, settlements := escrow.markKept(time.Now().Add(-age))
	if len(handed) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := escrow.config.Keeper.Keep(ctx, escrow.config.Incarnation, settlements); err != nil {
		_ = escrow.config.Logger.Log("level", "warn", "message", "no second router holds the settlements", "error", err)
		return
	}
	for _, pending := range handed {
		pending.receipt.markHeld()
	}
}

const (
	// keepTimeout bounds one call to a second router.
	keepTimeout = 2 * time.Second
	// maxHandOver bounds the settlements of one call to a second router.
	maxHandOver = 1000
)

// markKept marks the settlements from before a time that no second router holds
// yet, or that one has held for longer than keepAgain. The mark comes before the call, because its answer can be lost.
func (escrow *Escrow) markKept(before time.Time) ([]*pendingSettlement, []Settlement) {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	now := time.Now()
	var handed []*pendingSettlement
	var settlements []Settlement
	for _, pending := range escrow.pending {
		if pending.at.After(before) || len(handed) == maxHandOver {
			break
		}
		if isClosed(pending.receipt.held) && now.Sub(pending.keptAt) < keepAgain {
			continue
		}
		pending.kept = true
		pending.keptAt = now
		handed = append(handed, pending)
		settlements = append(settlements, pending.settlement)
	}
	return handed, settlements
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// settleKept settles what this router holds for routers that are closed, and
// drops what the owners have settled themselves.
func (escrow *Escrow) settleKept(ctx context.Context) {
	for owner, settlements := range escrow.keptByOwner() {
		for chunk := range slices.Chunk(settlements, keptChunk) {
			if err := escrow.settleChunk(ctx, owner, chunk); err != nil {
				_ = escrow.config.Logger.Log("level", "warn", "message", "held settlements wait for the table", "error", err)
				return
			}
		}
	}
}

// settleChunk reads the rows of several settlements at once, and writes only
// for those whose owner is closed.
func (escrow *Escrow) settleChunk(ctx context.Context, owner string, settlements []Settlement) error {
	plans, err := escrow.planKept(ctx, owner, settlements)
	if err != nil {
		return err
	}
	for i, settlement := range settlements {
		holder := plans[i].holders[settlement.Reservation.Profile]
		if len(plans[i].lines) > 0 && !holder.row.Closed {
			continue
		}
		if len(plans[i].lines) > 0 {
			err = escrow.settleFor(ctx, owner, settlement)
		}
		if err != nil {
			return err
		}
		escrow.dropKept(owner, settlement.Number)
	}
	return nil
}

func (escrow *Escrow) keptByOwner() map[string][]Settlement {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	copied := make(map[string][]Settlement, len(escrow.kept))
	for owner, settlements := range escrow.kept {
		copied[owner] = slices.Collect(maps.Values(settlements))
	}
	return copied
}

func (escrow *Escrow) dropKept(owner string, number uint64) {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	delete(escrow.kept[owner], number)
	if len(escrow.kept[owner]) == 0 {
		delete(escrow.kept, owner)
	}
}

// settleFor settles for a closed owner: unattributed tokens become lines.
func (escrow *Escrow) settleFor(ctx context.Context, owner string, settlement Settlement) error {
	return escrow.retrier.Run(ctx, func(ctx context.Context) error {
		plans, err := escrow.planKept(ctx, owner, []Settlement{settlement})
		if err != nil || len(plans[0].lines) == 0 {
			return err
		}
		profile := settlement.Reservation.Profile
		charge := plans[0].charges[profile]
		if charge.total() > plans[0].holders[profile].row.Settled.UnattributedTokens {
			_ = escrow.config.Logger.Log("level", "error", "message", "held settlement exceeds what its owner held",
				"owner", owner, "profile", profile, "request_id", settlement.Reservation.RequestID)
			return nil
		}
		return escrow.table.Transact(ctx, platform.Transaction{Writes: plans[0].writes()})
	})
}

// planKept reads the rows of settlements and plans what is not in the table.
func (escrow *Escrow) planKept(ctx context.Context, owner string, settlements []Settlement) ([]*batchPlan, error) {
	var keys []platform.Key
	for _, settlement := range settlements {
		keys = append(keys, holderKey(settlement.Reservation.Profile, owner))
		keys = append(keys, lineKeys(settlement, owner)...)
	}
	var items []platform.Item
	err := escrow.retrier.Run(ctx, func(ctx context.Context) error {
		var err error
		items, err = escrow.table.Get(ctx, keys...)
		return err
	})
	if err != nil {
		return nil, err
	}
	plans := make([]*batchPlan, len(settlements))
	for i, settlement := range settlements {
		count := 1 + len(lineKeys(settlement, owner))
		if plans[i], err = planOf(owner, settlement, items[:count]); err != nil {
			return nil, err
		}
		items = items[count:]
	}
	return plans, nil
}

func planOf(owner string, settlement Settlement, items []platform.Item) (*batchPlan, error) {
	plan := newBatchPlan(owner)
	if err := plan.readHolders([]string{settlement.Reservation.Profile}, items[:1]); err != nil {
		return nil, err
	}
	if err := plan.readLines(items[1:]); err != nil {
		return nil, err
	}
	plan.add(settlement, true)
	return plan, nil
}
