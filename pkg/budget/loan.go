package budget

import "context"

// LoanRequest asks another router for a part of its grant.
type LoanRequest struct {
	// TransferID makes the request idempotent at the lender and the loan
	// idempotent at the borrower.
	TransferID string `json:"transfer_id"`
	Profile    string `json:"profile"`
	// Borrower is the incarnation that asks.
	Borrower string `json:"borrower"`
	// Tokens is what the borrower would like; a loan may be smaller.
	Tokens int64 `json:"tokens"`
}

// Loan is an amount that the lender has debited from its own grant.
type Loan struct {
	TransferID string `json:"transfer_id"`
	Profile    string `json:"profile"`
	// Lender is the incarnation whose grant was debited.
	Lender string `json:"lender"`
	Tokens int64  `json:"tokens"`
}

// Lender asks other routers for a loan.
type Lender interface {
	// Borrow returns a loan of one other router. The error is
	// fault.BudgetExhausted when no router can lend and fault.Unavailable when
	// a loan may have been debited and lost; such an amount stays charged.
	Borrow(ctx context.Context, request LoanRequest) (Loan, error)
}

// Keeper holds settlements of another router while the table does not answer.
type Keeper interface {
	// Keep returns nil once a second router holds the settlements of owner.
	Keep(ctx context.Context, owner string, settlements []Settlement) error
}
