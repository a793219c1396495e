package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// followerReader reads from the other follower directly, without a network.
type followerReader struct {
	follower    func() *Follower
	partitioned bool
}

func (followerReader *followerReader) Records(_ context.Context, after uint64) ([]Record, error) {
	if followerReader.partitioned {
		return nil, errTableUnreachable()
	}
	return followerReader.follower().RecentRecords(after, maxRecordsPerRead), nil
}

func (followerReader *followerReader) Profile(_ context.Context, name string) (*ProfileCopy, error) {
	if followerReader.partitioned {
		return nil, errTableUnreachable()
	}
	return followerReader.follower().CopyProfile(name)
}

// followerMachine is a state machine test of two followers that share a table.
// The list of all accepted records is the oracle.
type followerMachine struct {
	table       *faultyTable
	publisher   *Publisher
	followers   [2]*Follower
	peerReaders [2]*followerReader
	// highestRevision is the highest revision of each follower since its restart.
	highestRevision [2]uint64
	records         []Record
	// minProfileRevision is the lowest configuration revision from which each
	// follower may still return a profile, by the profile's name.
	minProfileRevision [2]map[string]uint64
}

func newFollowerMachine() *followerMachine {
	machine := &followerMachine{table: newFaultyTable(1, 0)}
	machine.publisher = NewPublisher(PublisherConfig{Table: machine.table.Table})
	for i := range machine.followers {
		machine.peerReaders[i] = &followerReader{follower: func() *Follower { return machine.followers[1-i] }}
		machine.restart(i)
	}
	return machine
}

// restart replaces a follower by a new one without state.
func (followerMachine *followerMachine) restart(i int) {
	followerMachine.followers[i] = newFollower(FollowerConfig{Table: followerMachine.table, PeerReader: followerMachine.peerReaders[i], MaxCachedProfiles: 2})
	followerMachine.highestRevision[i] = 0
	followerMachine.minProfileRevision[i] = make(map[string]uint64)
}

// publish puts or deletes a document, or changes a limit. Services and profiles
// contain a number derived from the revision, so that successive versions differ.
func (followerMachine *followerMachine) publish(t *rapid.T) {
	nextRevision := uint64(len(followerMachine.records) + 1)
	change := Change{OperationID: fmt.Sprint("op-", nextRevision), Operator: "astrid", Reason: "test"}
	change.Kind = rapid.SampledFrom([]Kind{KindService, KindProfile, KindLimit}).Draw(t, "kind")
	change.Name = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	latestRevision := uint64(len(followerMachine.records))
	_, found := followerMachine.bodyAt(change.Kind, change.Name, latestRevision)
	change.ExpectedRevision = followerMachine.revisionAt(change.Kind, change.Name, latestRevision)
	switch change.Kind {
	case KindService:
		if !found || rapid.Bool().Draw(t, "put") {
			change.Body = platform.EncodeRow(Service{Name: change.Name, Protocol: ProtocolPlain, CallTokens: int64(nextRevision)})
		}
	case KindProfile:
		change.Body = platform.EncodeRow(Profile{Name: change.Name, Callers: []string{"x"}, Services: []string{"y"}, Retired: true, Priority: int(nextRevision % 10)})
	default:
		if _, found = followerMachine.bodyAt(KindProfile, change.Name, latestRevision); !found {
			return
		}
		change.Body = platform.EncodeRow(Limit{AddTokens: 1})
	}
	record, err := followerMachine.publisher.Publish(context.Background(), change)
	require.NoError(t, err)
	followerMachine.records = append(followerMachine.records, record)
}

func (followerMachine *followerMachine) revisionAt(kind Kind, name string, revision uint64) uint64 {
	for i := int(revision) - 1; i >= 0; i-- {
		if change := followerMachine.records[i].Change; change.Kind == kind && change.Name == name {
			return followerMachine.records[i].Revision
		}
	}
	return 0
}

// bodyAt returns the document at a revision, according to the oracle.
func (followerMachine *followerMachine) bodyAt(kind Kind, name string, revision uint64) ([]byte, bool) {
	documentRevision := followerMachine.revisionAt(kind, name, revision)
	if documentRevision == 0 {
		return nil, false
	}
	body := followerMachine.records[documentRevision-1].Change.Body
	return body, len(body) > 0
}

// offerRecords offers records to a follower: either the next ones, or any with
// duplicates, gaps and in any order.
func (followerMachine *followerMachine) offerRecords(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "follower")
	if len(followerMachine.records) == 0 {
		return
	}
	records := rapid.SliceOfN(rapid.SampledFrom(followerMachine.records), 1, 6).Draw(t, "records")
	if rapid.Bool().Draw(t, "next") {
		start := min(int(followerMachine.followers[i].Revision()), len(followerMachine.records)-1)
		records = followerMachine.records[start:min(start+3, len(followerMachine.records))]
	}
	followerMachine.followers[i].Offer(context.Background(), records)
}

// readProfile reads a profile and checks that it is not older than the view or
// than the version that the same follower returned before.
func (followerMachine *followerMachine) readProfile(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "follower")
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	follower := followerMachine.followers[i]
	if !follower.loaded.Load() {
		return
	}
	minRevision := max(follower.Revision(), followerMachine.minProfileRevision[i][name])
	profile, err := follower.Profile(context.Background(), name)
	if fault.Is(err, fault.Unavailable) {
		return
	}
	for revision := minRevision; revision <= uint64(len(followerMachine.records)); revision++ {
		body, found := followerMachine.bodyAt(KindProfile, name, revision)
		var expected Profile
		if found {
			require.NoError(t, json.Unmarshal(body, &expected))
		}
		if found == (err == nil) && fmt.Sprint(expected) == fmt.Sprint(profile) {
			followerMachine.minProfileRevision[i][name] = revision
			return
		}
	}
	require.Fail(t, "profile is older than the view or an earlier read", "%s: %v, %v", name, profile, err)
}

// check compares each view with the oracle at the view's revision, and checks that
// the revision never decreases and that the recent records have no gap.
func (followerMachine *followerMachine) check(t *rapid.T) {
	for i, follower := range followerMachine.followers {
		view := follower.View()
		require.GreaterOrEqual(t, view.Revision(), followerMachine.highestRevision[i], "revision decreased")
		followerMachine.highestRevision[i] = view.Revision()
		if !follower.loaded.Load() {
			require.False(t, follower.Ready())
			require.Zero(t, view.Revision())
			continue
		}
		for _, name := range []string{"a", "b", "c"} {
			body, found := followerMachine.bodyAt(KindService, name, view.Revision())
			service, ok := view.Service(name)
			require.Equal(t, found, ok, "service %s at %d", name, view.Revision())
			if found {
				require.JSONEq(t, string(body), string(platform.EncodeRow(service)))
			}
		}
		for j, record := range follower.recentRecords {
			require.Equal(t, follower.Revision()-uint64(len(follower.recentRecords)-1-j), record.Revision)
		}
	}
}

// Guards against a view or profile that is replaced by an older one. This could
// happen when records arrive late or twice from a peer, when the table or a peer
// becomes unreachable, or when a restarted follower gets outdated records.
func TestFollowerNeverReturnsOlderState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newFollowerMachine()
		follower := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "follower") }
		t.Repeat(map[string]func(*rapid.T){
			"publish": machine.publish,
			"offer":   machine.offerRecords,
			"profile": machine.readProfile,
			"poll":    func(t *rapid.T) { machine.followers[follower(t)].poll(context.Background()) },
			"hint": func(t *rapid.T) {
				machine.followers[follower(t)].Hint(uint64(rapid.IntRange(0, len(machine.records)).Draw(t, "revision")))
			},
			"restart":   func(t *rapid.T) { machine.restart(follower(t)) },
			"outage":    func(*rapid.T) { machine.table.down = !machine.table.down },
			"partition": func(t *rapid.T) { reader := machine.peerReaders[follower(t)]; reader.partitioned = !reader.partitioned },
			"":          machine.check,
		})
	})
}

// hookedTable calls a function once after a read of several rows, before it
// returns them. A test uses it to publish while a profile is being read.
type hookedTable struct {
	platform.Table
	afterGet func()
}

func (hookedTable *hookedTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	items, err := hookedTable.Table.Get(ctx, keys...)
	if afterGet := hookedTable.afterGet; afterGet != nil && len(keys) > 1 {
		hookedTable.afterGet = nil
		afterGet()
	}
	return items, err
}

// Guards against a cached profile that is older than the view: the profile is read
// from the table, then a change of it is published and adopted before the read
// returns. With many changes, the record is no longer in memory and the profile
// must be read again.
func TestProfileReadWhileItChangesIsNotOlderThanTheView(t *testing.T) {
	for changes := 1; changes <= 4; changes++ {
		ctx := context.Background()
		inner := newFaultyTable(1, 0)
		table := &hookedTable{Table: inner}
		publisher := NewPublisher(PublisherConfig{Table: inner.Table})
		publish := func(change Change) {
			_, err := publisher.Publish(ctx, change)
			require.NoError(t, err)
		}
		profile := Profile{Name: "p", Callers: []string{"x"}, Services: []string{"y"}, Retired: true}
		publish(newChange(t, "op-1", KindProfile, 0, profile))
		follower := newFollower(FollowerConfig{Table: table})
		follower.maxRecentRecords = 2
		follower.poll(ctx)
		table.afterGet = func() {
			profile.Priority = 5
			publish(newChange(t, "op-2", KindProfile, 1, profile))
			for other := 1; other < changes; other++ {
				name := fmt.Sprint("s-", other)
				publish(newChange(t, name, KindService, 0, Service{Name: name, Protocol: ProtocolPlain}))
			}
			follower.poll(ctx)
		}
		read, err := follower.Profile(ctx, "p")
		require.NoError(t, err)
		require.Equal(t, uint64(changes+1), follower.Revision())
		require.Equal(t, 5, read.Priority)
	}
}
