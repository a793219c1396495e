package budget

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The flow of a settlement: Settle ends the reservation in memory and queues
// the lines. Each interval the control goroutine cuts the queue into batches,
// records the loans that the batch may have spent, and writes each batch in one
// transaction with the next sequence of the incarnation. A batch whose answer
// was lost is found applied by its sequence, or written again as it was.

const (
	// maxLines bounds the lines of one settlement; more are joined into one.
	maxLines = 16
	// profileWrites are the writes of a batch for one profile besides lines:
	// the holder row, its index row and its unattributed line.
	profileWrites = 3
	// sequenceWrites are the writes of a batch for its sequence.
	sequenceWrites = 1
)

// pendingSettlement is a settlement that the table does not have yet.
type pendingSettlement struct {
	settlement Settlement
	receipt    *Receipt
	at         time.Time
	// kept is set before the settlement is sent to a second router.
	kept bool
	// keptAt is when it was last sent to one.
	keptAt time.Time
}

// batch is a set of settlements that is written in one transaction.
type batch struct {
	sequence    uint64
	settlements []*pendingSettlement
}

// Settle ends a reservation. The lines are charged in memory at once and
// written in the next batch. Lines above the reservation are an error of the
// program: they are logged, counted, and charged up to the reservation.
func (escrow *Escrow) Settle(settlement Settlement) *Receipt {
	now := time.Now()
	account := escrow.account(settlement.Reservation.Profile)
	lines, charged := escrow.chargeable(settlement, now)
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
	escrow.settlement++
	settlement.Number = escrow.settlement
	escrow.pending = append(escrow.pending, &pendingSettlement{settlement: settlement, receipt: receipt, at: time.Now()})
	select {
	case escrow.queued <- struct{}{}:
	default:
	}
}

// chargeable returns the lines as they are charged, and their sum.
func (escrow *Escrow) chargeable(settlement Settlement, now time.Time) ([]Line, int64) {
	var charged int64
	left := settlement.Reservation.Tokens
	lines := make([]Line, 0, len(settlement.Lines))
	for _, line := range settlement.Lines {
		if line.Tokens < 0 || line.Tokens > left {
			escrow.reportClamp(settlement, line)
			line.Tokens = min(max(0, line.Tokens), left)
		}
		line.Profile = settlement.Reservation.Profile
		line.Router = escrow.config.Incarnation
		if line.RequestID == "" {
			line.RequestID = settlement.Reservation.RequestID
		}
		if line.At.IsZero() {
			line.At = now
		}
		left -= line.Tokens
		charged += line.Tokens
		lines = append(lines, line)
	}
	return joinLines(lines), charged
}

// joinLines adds the lines beyond maxLines to the last one.
func joinLines(lines []Line) []Line {
	if len(lines) <= maxLines {
		return lines
	}
	for _, line := range lines[maxLines:] {
		lines[maxLines-1].Tokens += line.Tokens
	}
	return lines[:maxLines]
}

func (escrow *Escrow) reportClamp(settlement Settlement, line Line) {
	escrow.metrics.clamped.Inc()
	_ = escrow.config.Logger.Log("level", "error", "message", "settlement exceeds its reservation",
		"profile", settlement.Reservation.Profile, "request_id", settlement.Reservation.RequestID,
		"reserved_tokens", settlement.Reservation.Tokens, "line_tokens", line.Tokens)
}

// settle writes all pending settlements. On an error the rest stays pending.
func (escrow *Escrow) settle(ctx context.Context) {
	escrow.settling.Lock()
	defer escrow.settling.Unlock()
	if err := escrow.settleAll(ctx); err != nil {
		_ = escrow.config.Logger.Log("level", "warn", "message", "settlements wait for the table", "error", err)
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

func (escrow *Escrow) hasPending() bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	return len(escrow.pending) > 0
}

// nextBatch takes as many settlements as one transaction holds.
func (escrow *Escrow) nextBatch() *batch {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	writes := sequenceWrites
	profiles := make(map[string]bool)
	count := 0
	for _, pending := range escrow.pending {
		profile := pending.settlement.Reservation.Profile
		writes += len(pending.settlement.Lines)
		if !profiles[profile] {
			writes += profileWrites
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
	return &batch{sequence: escrow.sequence + 1, settlements: escrow.pending[:count:count]}
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
		for profile, row := range plan.changed() {
			escrow.account(profile).adopt(row)
		}
		for profile, tokens := range plan.refunds {
			escrow.account(profile).charge(0, -tokens, time.Now())
		}
		return nil
	})
}

// completeBatch drops the written batch from the queue.
func (escrow *Escrow) completeBatch() {
	done := escrow.batch
	escrow.batch = nil
	escrow.sequence = done.sequence
	escrow.metrics.batches.Inc()
	escrow.mutex.Lock()
	escrow.pending = escrow.pending[len(done.settlements):]
	escrow.mutex.Unlock()
	for _, pending := range done.settlements {
		pending.receipt.markDurable()
		for _, line := range pending.settlement.Lines {
			escrow.metrics.settled.WithLabelValues(string(line.Kind)).Add(float64(line.Tokens))
		}
	}
}
