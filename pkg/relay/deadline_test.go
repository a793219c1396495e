package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBegunAnswerLastsUntilItsDeadline guards against streams that are closed before
// their deadline, in the time that is left for an error answer.
func TestBegunAnswerLastsUntilItsDeadline(t *testing.T) {
	deadline := time.Now().Add(2 * deadlineMargin)
	ctx, cancel := withDeadline(t.Context(), deadline, func() bool { return true })
	defer cancel()
	<-ctx.Done()
	require.False(t, time.Now().Before(deadline))
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
}
