package budget

import "context"

// LoanRequest asks another router for a part of its tokens.
type LoanRequest struct {
	// TransferID makes the request idempotent at the lender and the loan
	// idempotent at the borrower.
	TransferID string `json:"transfer_id"`
	Profile    string `json:"profile"`
	// Borrower is the incarnation that requests the loan.
	Borrower string `json:"borrower"`
	// Tokens is the requested amount; the loan may be smaller.
	Tokens int64 `json:"tokens"`
}

// Loan is an amount that the lender has debited from its own tokens.
type Loan struct {
	TransferID string `json:"transfer_id"`
	Profile    string `json:"profile"`
	// Lender is the incarnation that gives the loan.
	Lender string `json:"lender"`
	Tokens int64  `json:"tokens"`
}

// LoanClient requests loans from other routers.
type LoanClient interface {
	// Borrow returns a loan from one other router. The error is
	// fault.BudgetExhausted if no router can lend, and fault.Unavailable if a
	// loan may have been debited but its response was lost; the lost amount
	// stays charged to the lender.
	Borrow(ctx context.Context, request LoanRequest) (Loan, error)
}

// BackupStore stores backup copies of settlements while the table is
// unavailable.
type BackupStore interface {
	// StoreBackups stores settlements of the incarnation owner. It returns nil
	// once a backup router has stored all of them; otherwise usually
	// fault.Unavailable, fault.Draining or fault.Overloaded.
	StoreBackups(ctx context.Context, owner string, settlements []Settlement) error
}
