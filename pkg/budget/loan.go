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

// Lender requests loans from other routers.
type Lender interface {
	// Borrow returns a loan from one other router. The error is
	// fault.BudgetExhausted if no router can lend, and fault.Unavailable if a
	// loan may have been debited but its response was lost; the lost amount
	// stays charged to the lender.
	Borrow(ctx context.Context, request LoanRequest) (Loan, error)
}

// Keeper stores backup copies of settlements at other routers while the table
// is unavailable.
type Keeper interface {
	// Keep returns nil once a backup router has stored the settlements of
	// owner.
	Keep(ctx context.Context, owner string, settlements []Settlement) error
}
