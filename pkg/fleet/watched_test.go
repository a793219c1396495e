package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

func testMembers(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{Incarnation: fmt.Sprintf("router-%03d", i), State: Live}
	}
	return members
}

func TestEachLeaseHasEnoughWatchers(t *testing.T) {
	for _, count := range []int{2, 3, 9, 90} {
		members := testMembers(count)
		members[0].State = Suspect
		watchers := make(map[platform.Key]int)
		for _, member := range members[1:] {
			for _, key := range watchedLeases(member.Incarnation, members) {
				watchers[key]++
			}
		}
		require.Equal(t, min(watchersPerLease, count-1), watchers[leaseKey("router-000")], "of a suspect")
		for _, member := range members[1:] {
			require.Equal(t, min(watchersPerLease, count-2), watchers[leaseKey(member.Incarnation)])
		}
	}
}

func BenchmarkWatched(b *testing.B) {
	members := testMembers(360)
	b.ReportAllocs()
	for range b.N {
		watchedLeases("router-007", members)
	}
}
