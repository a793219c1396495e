package testbed_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/testbed"
)

// prove runs a proof, shows what it gave, and returns it.
func prove(t *testing.T, config testbed.ProofConfig) testbed.Proof {
	t.Helper()
	config.Seed = 1
	var out bytes.Buffer
	proof, err := testbed.Prove(t.Context(), config, &out)
	proof.Write(&out)
	t.Log("\n" + out.String())
	require.NoError(t, err)
	require.NoError(t, proof.Err())
	return proof
}

// TestCalm checks that a fleet without failures answers everything.
func TestCalm(t *testing.T) {
	proof := prove(t, testbed.ProofConfig{Requests: 400, Rate: 100})
	assert.Equal(t, proof.Report.Requests, proof.Report.Outcomes["answered"])
}

// TestPromisesUnderFailures sends requests while routers are killed, connections
// go silent, streams break and writes lose their answers. The command measure
// runs the same with 5,000.
func TestPromisesUnderFailures(t *testing.T) {
	proof := prove(t, testbed.ProofConfig{
		Requests: 1200,
		Rate:     80,
		Interval: time.Second,
		Kinds:    testbed.AllDisturbances(),
	})
	assert.Positive(t, proof.Report.Outcomes["answered"])
}
