package budget

import "context"

// LoanRequest asks another router to hand over part of its grant.
type LoanRequest struct {
	// TransferID makes the loan idempotent at the borrower.
	TransferID string
	Profile    string
	Tokens     int64
	// Borrower is the incarnation that asks.
	Borrower string
}

// Loan is what a lender debited from its grant and handed over.
type Loan struct {
	TransferID string
	Profile    string
	Tokens     int64
	// Lender is the incarnation that gave the tokens.
	Lender string
}

// Lender finds a router that lends.
type Lender interface {
	Borrow(ctx context.Context, request LoanRequest) (Loan, error)
}

// Keeper hands settlements to another router while the table is out of reach.
type Keeper interface {
	Keep(ctx context.Context, owner string, settlements []Settlement) error
}
