package router

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestIDsOfTwoCallersDiffer(t *testing.T) {
	require.Equal(t, "desk:01", requestID("desk", "01"))
	require.NotEqual(t, requestID("desk", "north:01"), requestID("desk:north", "01"))
	require.NotEqual(t, requestID("desk%3Anorth", "01"), requestID("desk:north", "01"))
}
