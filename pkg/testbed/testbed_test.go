package testbed_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/testbed"
)

// verify executes a verification run, logs its result and requires that no
// guarantee is violated.
func verify(t *testing.T, config testbed.VerificationConfig) testbed.Verification {
	t.Helper()
	config.Seed = 1
	var out bytes.Buffer
	verification, err := testbed.Verify(t.Context(), config, &out)
	verification.Write(&out)
	t.Log("\n" + out.String())
	require.NoError(t, err)
	require.NoError(t, verification.Err())
	return verification
}

// TestWithoutFailures checks that a fleet without failures answers every request.
func TestWithoutFailures(t *testing.T) {
	verification := verify(t, testbed.VerificationConfig{Requests: 400, Rate: 100})
	assert.Equal(t, verification.Report.Requests, verification.Report.Outcomes["answered"])
}

// TestGuaranteesUnderFailures guards against overspent budgets and missing or
// double bills while routers are killed, connections stall, streams fail and
// responses to writes are lost. The command measure runs the same with 5,000
// requests.
func TestGuaranteesUnderFailures(t *testing.T) {
	verification := verify(t, testbed.VerificationConfig{
		Requests: 1200,
		Rate:     80,
		Interval: time.Second,
		Kinds:    testbed.AllDisturbances(),
	})
	assert.Positive(t, verification.Report.Outcomes["answered"])
}
