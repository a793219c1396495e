package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

func row(t *testing.T, name string, version uint64, member Member) platform.Item {
	t.Helper()
	value, err := json.Marshal(member)
	require.NoError(t, err)
	return platform.Item{Key: platform.Key{Partition: partition, Sort: name}, Value: value, Version: version}
}

func newTestDirectory() *Directory {
	return newDirectory(Config{Name: "self", Self: Member{Address: "10.0.0.1:1", Zone: "a", Region: "r"}, Logger: log.NewNopLogger()})
}

// TestNearestFirst checks the order of addresses and that one that leaves is
// not named.
func TestNearestFirst(t *testing.T) {
	directory := newTestDirectory()
	directory.adopt([]platform.Item{
		row(t, "near", 1, Member{Address: "10.0.0.2:1", Zone: "b", Region: "r"}),
		row(t, "far", 1, Member{Address: "10.0.0.3:1", Zone: "c", Region: "s"}),
		row(t, "gone", 1, Member{Address: "10.0.0.4:1", Zone: "b", Region: "r", Leaving: true}),
		{Key: platform.Key{Partition: partition, Sort: "broken"}, Value: []byte("?"), Version: 1},
	}, time.Unix(0, 0))
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.1:1", "10.0.0.3:1"}, directory.Addresses("r", "b"))
	require.Equal(t, 3, directory.AliveCount())
}

// TestDeadOnlyInTouch is the pattern of a cut: rows that can't be read are no
// sign of death, rows that stay the same in touch are.
func TestDeadOnlyInTouch(t *testing.T) {
	directory := newTestDirectory()
	now := time.Unix(0, 0)
	items := []platform.Item{row(t, "other", 1, Member{Address: "10.0.0.2:1", Zone: "a", Region: "r"})}
	directory.adopt(items, now)
	now = now.Add(time.Minute) // cut off
	directory.adopt(items, now)
	require.Len(t, directory.Addresses("r", "a"), 2)
	for range 10 {
		now = now.Add(time.Second)
		directory.adopt(items, now)
	}
	require.Equal(t, []string{"10.0.0.1:1"}, directory.Addresses("r", "a"))
}

// TestNeverEmpty checks that a router which leaves alone still names itself.
func TestNeverEmpty(t *testing.T) {
	directory := newTestDirectory()
	directory.Leave()
	require.Equal(t, []string{"10.0.0.1:1"}, directory.Addresses("r", "a"))
}

// TestStrongestOfALargeFleet is the pattern of many small routers beside a few
// strong ones: callers are led to the strong ones while these carry the load
// with headroom, and to more of them when they don't.
func TestStrongestOfALargeFleet(t *testing.T) {
	var members []Member
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 20 {
			capacity := 90.0
			if i < 2 {
				capacity = 400
			}
			members = append(members, Member{Address: zone + string(rune('a'+i)), Zone: zone, CapacityPerSecond: capacity, LoadPerSecond: 5})
		}
	}
	require.Len(t, selectMembers(members), 6)
	for i := range members {
		members[i].LoadPerSecond = 20
	}
	chosen := selectMembers(members)
	require.Greater(t, len(chosen), 6)
	capacity := 0.0
	for _, member := range chosen {
		capacity += member.CapacityPerSecond
	}
	require.GreaterOrEqual(t, capacity, headroom*1200.0)
	require.Less(t, len(chosen), 60)
}
