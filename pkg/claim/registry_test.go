package claim_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

func newRegistry(t *testing.T, table *standin.Table, incarnation string) *claim.Registry {
	t.Helper()
	registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: incarnation})
	t.Cleanup(func() { _ = registry.Close(context.Background()) })
	return registry
}

func TestClaimRunsOnce(t *testing.T) {
	table := standin.NewTable()
	first := newRegistry(t, table, "a")
	second := newRegistry(t, table, "b")
	request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID(), Deadline: time.Now().Add(time.Minute)}

	decision, err := first.Claim(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Owned, decision.State)
	decision, err = second.Claim(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Running, decision.State)
	require.Equal(t, "a", decision.Owner)
	require.Error(t, second.Withdraw(t.Context(), request))

	require.NoError(t, first.Finish(t.Context(), request, claim.Result{Status: 201, Body: []byte("booked")}))
	decision, err = second.Wait(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Finished, decision.State)
	require.Equal(t, "booked", string(decision.Result.Body))
}
