package budget

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Settlement: Settle ends the reservation in memory and queues the lines. At
// each interval the control goroutine splits the queue into batches, records
// the loans whose tokens a batch may have spent, and writes each batch in one
// transaction with the next sequence number of the incarnation. If the response
// to a batch is lost, the stored sequence number shows whether it was applied;
// if not, the same batch is written again.

const (
	// maxSettlementLines limits the lines of one settlement; further lines are
	// merged into the last one.
	maxSettlementLines = 16
	// writesPerProfile is the number of writes of a batch for one profile
	// besides lines: the holder row, its index row and its unattributed line.
	writesPerProfile = 3
	// fixedWritesPerBatch counts the write of the sequence row.
	fixedWritesPerBatch = 1
)

// pendingSettlement is a settlement that is not yet written to the table.
type pendingSettlement struct {
	settlement Settlement
	receipt    *Receipt
	queuedAt   time.Time
	// backupSent is set before the settlement is first sent to a backup router.
	backupSent bool
	// backupSentAt is when the settlement was last sent to a backup router.
	backupSentAt time.Time
}

// batch is a set of settlements that is written in one transaction.
type batch struct {
	sequence    uint64
	settlements []*pendingSettlement
}

// Settle ends a reservation. The lines are charged in memory at once and
// written with the next batch. Lines that exceed the reservation are a
// programming error: they are logged, counted, and charged only up to the
// reservation.
func (escrow *Escrow) Settle(settlement Settlement) *Receipt {
	now := time.Now()
	account := escrow.account(settlement.Reservation.Profile)
	lines, charged := escrow.clampLines(settlement, now)
	receipt := newReceipt()
	if len(lines) == 0 {
		account.charge(settlement.Reservation.Tokens, 0, now)
		receipt.markDurable()
		return receipt
	}
	settlement.Lines = lines
	escrow.enqueue(settlement, receipt)
	account.charge(settlement.Reservation.Tokens, charged, now)
	return receipt
}

func (escrow *Escrow) enqueue(settlement Settlement, receipt *Receipt) {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	escrow.lastSettlementNumber++
	settlement.Number = escrow.lastSettlementNumber
	escrow.pendingSettlements = append(escrow.pendingSettlements, &pendingSettlement{settlement: settlement, receipt: receipt, queuedAt: time.Now()})
	select {
	case escrow.settlementQueued <- struct{}{}:
	default:
	}
}

// clampLines returns the lines limited to the reservation, and the sum of their
// tokens.
func (escrow *Escrow) clampLines(settlement Settlement, now time.Time) ([]Line, int64) {
	var charged int64
	remaining := settlement.Reservation.Tokens
	lines := make([]Line, 0, len(settlement.Lines))
	for _, line := range settlement.Lines {
		if line.Tokens < 0 || line.Tokens > remaining {
			escrow.reportClamp(settlement, line)
			line.Tokens = min(max(0, line.Tokens), remaining)
		}
		line.Profile = settlement.Reservation.Profile
		line.Router = escrow.config.Incarnation
		if line.RequestID == "" {
			line.RequestID = settlement.Reservation.RequestID
		}
		if line.At.IsZero() {
			line.At = now
		}
		remaining -= line.Tokens
		charged += line.Tokens
		lines = append(lines, line)
	}
	return mergeLines(lines), charged
}

// mergeLines adds the lines beyond maxSettlementLines to the last line.
func mergeLines(lines []Line) []Line {
	if len(lines) <= maxSettlementLines {
		return lines
	}
	for _, line := range lines[maxSettlementLines:] {
		lines[maxSettlementLines-1].Tokens += line.Tokens
	}
	return lines[:maxSettlementLines]
}

func (escrow *Escrow) reportClamp(settlement Settlement, line Line) {
	escrow.metrics.clampedSettlements.Inc()
	_ = escrow.config.Logger.Log("level", "error", "message", "settlement exceeds its reservation",
		"profile", settlement.Reservation.Profile, "request_id", settlement.Reservation.RequestID,
		"reserved_tokens", settlement.Reservation.Tokens, "line_tokens", line.Tokens)
}

// settle writes all pending settlements. After an error the remaining ones stay
// pending.
func (escrow *Escrow) settle(ctx context.Context) {
	escrow.settleMutex.Lock()
	defer escrow.settleMutex.Unlock()
	if err := escrow.settleAll(ctx); err != nil {
		_ = escrow.config.Logger.Log("level", "warn", "message", "cannot write settlements; they stay pending and are retried", "error", err)
	}
}

func (escrow *Escrow) settleAll(ctx context.Context) error {
	for {
		if escrow.batch == nil {
			escrow.batch = escrow.nextBatch()
		}
		if err := escrow.recordLoans(ctx); err != nil {
			return err
		}
		if escrow.batch == nil {
			return nil
		}
		if err := escrow.writeBatch(ctx, escrow.batch); err != nil {
			return err
		}
		escrow.completeBatch()
	}
}

func (escrow *Escrow) hasPendingSettlements() bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	return len(escrow.pendingSettlements) > 0
}

// nextBatch returns a batch of as many pending settlements as fit into one
// transaction.
func (escrow *Escrow) nextBatch() *batch {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	writes := fixedWritesPerBatch
	profiles := make(map[string]bool)
	count := 0
	for _, pending := range escrow.pendingSettlements {
		profile := pending.settlement.Reservation.Profile
		writes += len(pending.settlement.Lines)
		if !profiles[profile] {
			writes += writesPerProfile
		}
		if writes > platform.MaxTransactionWrites {
			break
		}
		profiles[profile] = true
		count++
	}
	if count == 0 {
		return nil
	}
	return &batch{sequence: escrow.lastSequence + 1, settlements: escrow.pendingSettlements[:count:count]}
}

func (escrow *Escrow) writeBatch(ctx context.Context, batch *batch) error {
	return escrow.retrier.Run(ctx, func(ctx context.Context) error {
		plan, applied, err := escrow.planBatch(ctx, batch)
		if err != nil || applied {
			return err
		}
		if err := escrow.table.Transact(ctx, platform.Transaction{Writes: plan.writes()}); err != nil {
			return err
		}
		for profile, row := range plan.newRows() {
			escrow.account(profile).applyRow(row)
		}
		for profile, tokens := range plan.refunds {
			escrow.account(profile).charge(0, -tokens, time.Now())
		}
		return nil
	})
}

// completeBatch removes the written batch from the queue.
func (escrow *Escrow) completeBatch() {
	completed := escrow.batch
	escrow.batch = nil
	escrow.lastSequence = completed.sequence
	escrow.metrics.batches.Inc()
	escrow.mutex.Lock()
	escrow.pendingSettlements = escrow.pendingSettlements[len(completed.settlements):]
	escrow.mutex.Unlock()
	for _, pending := range completed.settlements {
		pending.receipt.markDurable()
		for _, line := range pending.settlement.Lines {
			escrow.metrics.settledTokens.WithLabelValues(string(line.Kind)).Add(float64(line.Tokens))
		}
	}
}
