package budget

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Backups: if a settlement is not written to the table in time, it is also sent
// to a backup router, and to a further one at intervals while it is pending.
// Each backup router writes it if the owner's holder row is closed, and drops it
// once the owner has written it. All of them write the same keys, conditional on
// the owner's holder row, so the bill is charged once.

const (
	// backupDelay is how long a settlement may stay pending after the settle
	// interval before it is sent to a backup router.
	backupDelay = 250 * time.Millisecond
	// backupInterval is the time between two backups of a settlement that is
	// still pending. The settlement is sent again because the previous backup
	// router may have stopped.
	backupInterval = 2 * time.Second
	// backupReadChunk is the number of backup copies whose rows are read in one
	// call.
	backupReadChunk = 25
	// maxBackups limits the number of backup copies held for one owner, and maxAllBackups
	// that for all owners, so that one that sends too many leaves room for the others.
	maxBackups    = 50000
	maxAllBackups = 2 * maxBackups
)

// StoreBackups stores backup copies of the settlements of another router, the
// owner. It holds them until the owner has written them, or writes them itself if
// the owner's holder row is closed. The errors are fault.Draining and
// fault.Overloaded.
func (escrow *Escrow) StoreBackups(_ context.Context, owner string, settlements []Settlement) error {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	if escrow.draining {
		return drainingError()
	}
	if len(settlements) == 0 {
		return nil
	}
	backups, allCount := escrow.backups[owner], 0
	for _, ofOwner := range escrow.backups {
		allCount += len(ofOwner)
	}
	if len(backups)+len(settlements) > maxBackups || allCount+len(settlements) > maxAllBackups {
		return fault.New(fault.Config{
			Kind:    fault.Overloaded,
			Message: fmt.Sprintf("this router already holds too many backed-up settlements: %d of %s, %d in all", len(backups), owner, allCount),
			Remedy:  "ask another router",
		})
	}
	if backups == nil {
		backups = make(map[uint64]Settlement)
		escrow.backups[owner] = backups
	}
	for _, settlement := range settlements {
		backups[settlement.Number] = settlement
	}
	return nil
}

// sendBackups sends settlements that have been pending for minAge to a backup
// router.
func (escrow *Escrow) sendBackups(ctx context.Context, minAge time.Duration) {
	if escrow.config.BackupStore == nil {
		return
	}
	marked, settlements := escrow.markBackupSent(time.Now().Add(-minAge))
	if len(marked) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	if err := escrow.config.BackupStore.StoreBackups(ctx, escrow.config.Incarnation, settlements); err != nil {
		_ = escrow.config.Logger.Log("level", "warn", "message", "cannot send settlements to a backup router", "error", err)
		return
	}
	for _, pending := range marked {
		pending.receipt.markBackedUp()
	}
}

const (
	// backupTimeout limits one call to a backup router.
	backupTimeout = 2 * time.Second
	// maxBackupsPerCall limits the settlements of one call to a backup router.
	maxBackupsPerCall = 1000
)

// markBackupSent selects the settlements queued before cutoff that have no
// backup yet, or whose last backup is older than backupInterval. It marks them
// before the call, because the response can be lost.
func (escrow *Escrow) markBackupSent(cutoff time.Time) ([]*pendingSettlement, []Settlement) {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	now := time.Now()
	var marked []*pendingSettlement
	var settlements []Settlement
	for _, pending := range escrow.pendingSettlements {
		if pending.queuedAt.After(cutoff) || len(marked) == maxBackupsPerCall {
			break
		}
		if isClosed(pending.receipt.backedUp) && now.Sub(pending.backupSentAt) < backupInterval {
			continue
		}
		pending.backupSent = true
		pending.backupSentAt = now
		marked = append(marked, pending)
		settlements = append(settlements, pending.settlement)
	}
	return marked, settlements
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// settleBackups writes the backup copies whose owner's holder row is closed, and
// drops those that the owner has written itself.
func (escrow *Escrow) settleBackups(ctx context.Context) {
	for owner, settlements := range escrow.backupsByOwner() {
		for chunk := range slices.Chunk(settlements, backupReadChunk) {
			if err := escrow.settleBackupChunk(ctx, owner, chunk); err != nil {
				_ = escrow.config.Logger.Log("level", "warn", "message", "cannot write backed-up settlements; they are retried", "error", err)
				return
			}
		}
	}
}

// settleBackupChunk reads the rows of several backup copies at once, and writes
// only the copies whose owner's holder row is closed.
func (escrow *Escrow) settleBackupChunk(ctx context.Context, owner string, settlements []Settlement) error {
	plans, err := escrow.planBackups(ctx, owner, settlements)
	if err != nil {
		return err
	}
	for i, settlement := range settlements {
		holder := plans[i].holders[settlement.Reservation.Profile]
		if len(plans[i].lineWrites) > 0 && !holder.row.Closed {
			continue
		}
		if len(plans[i].lineWrites) > 0 {
			err = escrow.settleBackup(ctx, owner, settlement)
		}
		if err != nil {
			return err
		}
		escrow.dropBackup(owner, settlement.Number)
	}
	return nil
}

func (escrow *Escrow) backupsByOwner() map[string][]Settlement {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	byOwner := make(map[string][]Settlement, len(escrow.backups))
	for owner, settlements := range escrow.backups {
		byOwner[owner] = slices.Collect(maps.Values(settlements))
	}
	return byOwner
}

func (escrow *Escrow) dropBackup(owner string, number uint64) {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	delete(escrow.backups[owner], number)
	if len(escrow.backups[owner]) == 0 {
		delete(escrow.backups, owner)
	}
}

// settleBackup writes a backup copy for an owner whose holder row is closed:
// unattributed tokens become lines.
func (escrow *Escrow) settleBackup(ctx context.Context, owner string, settlement Settlement) error {
	return escrow.retrier.Run(ctx, func(ctx context.Context) error {
		plans, err := escrow.planBackups(ctx, owner, []Settlement{settlement})
		if err != nil || len(plans[0].lineWrites) == 0 {
			return err
		}
		profile := settlement.Reservation.Profile
		charge := plans[0].charges[profile]
		if charge.total() > plans[0].holders[profile].row.Settled.UnattributedTokens {
			_ = escrow.config.Logger.Log("level", "error", "message", "backed-up settlement exceeds the unattributed tokens of its owner; dropped",
				"owner", owner, "profile", profile, "request_id", settlement.Reservation.RequestID)
			return nil
		}
		return escrow.table.Transact(ctx, platform.Transaction{Writes: plans[0].writes()})
	})
}

// planBackups reads the rows of settlements and plans the lines that are
// missing from the table.
func (escrow *Escrow) planBackups(ctx context.Context, owner string, settlements []Settlement) ([]*batchPlan, error) {
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
		if plans[i], err = planBackup(owner, settlement, items[:count]); err != nil {
			return nil, err
		}
		items = items[count:]
	}
	return plans, nil
}

func planBackup(owner string, settlement Settlement, items []platform.Item) (*batchPlan, error) {
	plan := newBatchPlan(owner)
	if err := plan.readHolders([]string{settlement.Reservation.Profile}, items[:1]); err != nil {
		return nil, err
	}
	if err := plan.readLines(items[1:]); err != nil {
		return nil, err
	}
	plan.addSettlement(settlement, true)
	return plan, nil
}
