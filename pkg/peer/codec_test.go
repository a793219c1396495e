package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
)

func TestSettlementNumberSurvivesEncoding(t *testing.T) {
	settlement := budget.Settlement{
		Reservation: budget.Reservation{Profile: "p", RequestID: "r", Tokens: 9},
		Lines:       []budget.Line{{Kind: budget.LineBill, Profile: "p", RequestID: "r", Tokens: 4}},
		Number:      7,
	}
	require.Equal(t, settlement, settlementFromWire(settlementToWire(settlement)))
}
