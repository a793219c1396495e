package budget

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Loans: the lender debits a loan in memory and sends it. The borrower can
// spend it at once, and records it in the table before it settles anything that
// the loan may have paid for. Until then the table counts the amount as held by
// the lender.

// recordLoans writes received loans to the holder rows of lender and borrower.
func (escrow *Escrow) recordLoans(ctx context.Context) error {
	for _, account := range escrow.allAccounts() {
		for _, loan := range account.copyUnrecordedLoans() {
			if err := escrow.recordLoan(ctx, account, loan); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordLoan inserts the transfer row and updates both holder rows in one
// transaction, so that a loan is recorded once and counts at one router only.
func (escrow *Escrow) recordLoan(ctx context.Context, account *account, loan Loan) error {
	err := escrow.retrier.Run(ctx, func(ctx context.Context) error {
		items, err := escrow.table.Get(ctx, transferKey(loan),
			holderKey(loan.Profile, loan.Lender), holderKey(loan.Profile, escrow.config.Incarnation))
		if err != nil {
			return err
		}
		borrower, err := decodeHolderRecord(loan.Profile, escrow.config.Incarnation, items[2])
		if err != nil {
			return err
		}
		if items[0].Version != 0 {
			account.applyRow(borrower.row)
			return nil
		}
		lender, err := decodeHolderRecord(loan.Profile, loan.Lender, items[1])
		if err != nil {
			return err
		}
		return escrow.writeLoan(ctx, account, loan, lender, borrower)
	})
	if err == nil {
		account.markLoanRecorded(loan)
	}
	return err
}

func (escrow *Escrow) writeLoan(ctx context.Context, account *account, loan Loan, lender, borrower holderRecord) error {
	if lender.row.outstandingTokens()+lender.row.Settled.UnattributedTokens < loan.Tokens {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "lender " + loan.Lender + " has fewer tokens than it lent",
			Remedy:  "report this error; the loan stays unrecorded",
		})
	}
	newRow := borrower.row.WithBorrowed(loan.Tokens)
	writes := []platform.Write{platform.Insert(transferKey(loan), transferRow{Loan: loan, Borrower: escrow.config.Incarnation})}
	writes = append(writes, lender.writes(lender.row.WithLent(loan.Tokens))...)
	writes = append(writes, borrower.writes(newRow)...)
	if err := escrow.table.Transact(ctx, platform.Transaction{Writes: writes}); err != nil {
		return err
	}
	account.applyRow(newRow)
	return nil
}
