package budget

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The flow of a loan: the lender debits it in memory and hands it over. The
// borrower spends it at once, and records it before it settles anything that
// the loan may have paid for. Until then the amount counts as the lender's.

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
	writes := []platform.Write{platform.Insert(transferKey(loan), transferRow{Loan: loan, Borrower: escrow.config.Incarnation})}
	writes = append(writes, lender.writes(lender.row.WithLent(loan.Tokens))...)
	writes = append(writes, borrower.writes(changed)...)
	if err := escrow.table.Transact(ctx, platform.Transaction{Writes: writes}); err != nil {
		return err
	}
	account.adopt(changed)
	return nil
}
