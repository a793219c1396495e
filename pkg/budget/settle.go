package budget

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The flow of a settlement: Settle ends the reservation in memory and queues
// the lines. Each interval the control goroutine cuts the queue into batches,
// records the loans that the batch may have spent, and writes each batch in one
// transaction with the next sequence of the incarnation. A batch whose answer
// was lost is found applied by its sequence, or written again as it was. While
// the table does not answer, the queue goes to a second router as well.

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
	// kept is set before the settlement is sent to a second router.
	kept bool
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
	escrow.pending = append(escrow.pending, &pendingSettlement{settlement: settlement, receipt: receipt})
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

// settle writes all pending settlements. On an error the rest stays pending and
// is handed to the keeper.
func (escrow *Escrow) settle(ctx context.Context) {
	escrow.settling.Lock()
	defer escrow.settling.Unlock()
	if err := escrow.settleAll(ctx); err != nil {
		_ = escrow.config.Logger.Log("level", "warn", "message", "settlements wait for the table", "error", err)
		escrow.handOver(ctx)
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

// handOver sends pending settlements to a second router.
func (escrow *Escrow) handOver(ctx context.Context) {
	if escrow.config.Keeper == nil {
		return
	}
	handed, settlements := escrow.markKept()
	if len(handed) == 0 {
		return
	}
	if err := escrow.config.Keeper.Keep(ctx, escrow.config.Incarnation, settlements); err != nil {
		_ = escrow.config.Logger.Log("level", "warn", "message", "no second router holds the settlements", "error", err)
		return
	}
	for _, pending := range handed {
		pending.receipt.markHeld()
	}
}

// markKept marks the settlements that no second router holds yet.
func (escrow *Escrow) markKept() ([]*pendingSettlement, []Settlement) {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	var handed []*pendingSettlement
	var settlements []Settlement
	for _, pending := range escrow.pending {
		if isClosed(pending.receipt.held) {
			continue
		}
		pending.kept = true
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

// recordLoans writes received loans into the books of lender and borrower.
func (escrow *Escrow) recordLoans(ctx context.Context) error {
	for _, account := range escrow.allAccounts() {
		for _, loan := range account.unrecordedLoans() {
			if err := escrow.recordLoan(ctx, account, loan); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordLoan inserts the transfer row together with both holder rows, so that
// a loan is booked once and the amount is charged at one router only.
func (escrow *Escrow) recordLoan(ctx context.Context, account *account, loan Loan) error {
	err := escrow.retrier.Run(ctx, func(ctx context.Context) error {
		items, err := escrow.table.Get(ctx, transferKey(loan),
			holderKey(loan.Profile, loan.Lender), holderKey(loan.Profile, escrow.config.Incarnation))
		if err != nil {
			return err
		}
		borrower, err := newHolderRecord(loan.Profile, escrow.config.Incarnation, items[2])
		if err != nil {
			return err
		}
		if items[0].Version != 0 {
			account.adopt(borrower.row)
			return nil
		}
		lender, err := newHolderRecord(loan.Profile, loan.Lender, items[1])
		if err != nil {
			return err
		}
		return escrow.writeLoan(ctx, account, loan, lender, borrower)
	})
	if err == nil {
		account.markRecorded(loan)
	}
	return err
}

func (escrow *Escrow) writeLoan(ctx context.Context, account *account, loan Loan, lender, borrower holderRecord) error {
	if lender.row.outstandingTokens()+lender.row.Settled.UnattributedTokens < loan.Tokens {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "lender " + loan.Lender + " does not hold what it lent",
			Remedy:  "report this error; the loan stays unrecorded",
		})
	}
	changed := borrower.row.WithBorrowed(loan.Tokens)
	writes := []platform.Write{insert(transferKey(loan), transferRow{Loan: loan, Borrower: escrow.config.Incarnation})}
	writes = append(writes, lender.writes(lender.row.WithLent(loan.Tokens))...)
	writes = append(writes, borrower.writes(changed)...)
	if err := escrow.table.Transact(ctx, platform.Transaction{Writes: writes}); err != nil {
		return err
	}
	account.adopt(changed)
	return nil
}
