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

// followerRelay asks one other follower, through the forms that peers pass on.
type followerRelay struct {
	of   func() *Follower
	lost bool
}

func (followerRelay *followerRelay) Records(_ context.Context, after uint64) ([]Record, error) {
	if followerRelay.lost {
		return nil, errOutOfReach()
	}
	return followerRelay.of().RecentRecords(after, pageRecords), nil
}

func (followerRelay *followerRelay) Profile(_ context.Context, name string) (*ProfileCopy, error) {
	if followerRelay.lost {
		return nil, errOutOfReach()
	}
	return followerRelay.of().CopyProfile(name)
}

// followerMachine runs two followers against a table, with a list of all
// accepted records as the oracle.
type followerMachine struct {
	table     *faultyTable
	publisher *Publisher
	followers [2]*Follower
	relays    [2]*followerRelay
	// seen is the highest revision of each follower's life.
	seen    [2]uint64
	records []Record
	// profileSeen is the lowest revision that a follower may still answer from,
	// for each profile.
	profileSeen [2]map[string]uint64
}

func newFollowerMachine() *followerMachine {
	machine := &followerMachine{table: newFaultyTable(1, 0)}
	machine.publisher = NewPublisher(PublisherConfig{Table: machine.table.Table})
	for i := range machine.followers {
		machine.relays[i] = &followerRelay{of: func() *Follower { return machine.followers[1-i] }}
		machine.restart(i)
	}
	return machine
}

// restart replaces a router by a fresh one, which knows nothing.
func (followerMachine *followerMachine) restart(i int) {
	followerMachine.followers[i] = newFollower(FollowerConfig{Table: followerMachine.table, Relay: followerMachine.relays[i], MaxCachedProfiles: 2})
	followerMachine.seen[i] = 0
	followerMachine.profileSeen[i] = make(map[string]uint64)
}

// publish puts or deletes a document with its revision as its content.
func (followerMachine *followerMachine) publish(t *rapid.T) {
	next := uint64(len(followerMachine.records) + 1)
	change := Change{OperationID: fmt.Sprint("op-", next), Operator: "astrid", Reason: "test"}
	change.Kind = rapid.SampledFrom([]Kind{KindService, KindProfile, KindLimit}).Draw(t, "kind")
	change.Name = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	at := uint64(len(followerMachine.records))
	_, found := followerMachine.bodyAt(change.Kind, change.Name, at)
	change.ExpectedRevision = followerMachine.revisionAt(change.Kind, change.Name, at)
	switch change.Kind {
	case KindService:
		if !found || rapid.Bool().Draw(t, "put") {
			change.Body = platform.EncodeRow(Service{Name: change.Name, Protocol: ProtocolPlain, CallTokens: int64(next)})
		}
	case KindProfile:
		change.Body = platform.EncodeRow(Profile{Name: change.Name, Callers: []string{"x"}, Services: []string{"y"}, Retired: true, Priority: int(next % 10)})
	default:
		if _, found = followerMachine.bodyAt(KindProfile, change.Name, at); !found {
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

// bodyAt is the oracle: the document as of a revision.
func (followerMachine *followerMachine) bodyAt(kind Kind, name string, revision uint64) ([]byte, bool) {
	at := followerMachine.revisionAt(kind, name, revision)
	if at == 0 {
		return nil, false
	}
	body := followerMachine.records[at-1].Change.Body
	return body, len(body) > 0
}

// offer passes records on, with repeats, gaps and in any order.
func (followerMachine *followerMachine) offer(t *rapid.T) {
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

// profile reads a profile and checks that it is one the router may serve.
func (followerMachine *followerMachine) profile(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "follower")
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	follower := followerMachine.followers[i]
	if !follower.loaded.Load() {
		return
	}
	lowest := max(follower.Revision(), followerMachine.profileSeen[i][name])
	profile, err := follower.Profile(context.Background(), name)
	if fault.Is(err, fault.Unavailable) {
		return
	}
	for at := lowest; at <= uint64(len(followerMachine.records)); at++ {
		body, found := followerMachine.bodyAt(KindProfile, name, at)
		var expected Profile
		if found {
			require.NoError(t, json.Unmarshal(body, &expected))
		}
		if found == (err == nil) && fmt.Sprint(expected) == fmt.Sprint(profile) {
			followerMachine.profileSeen[i][name] = at
			return
		}
	}
	require.Fail(t, "profile is older than the router has seen", "%s: %v, %v", name, profile, err)
}

// check compares each view with the oracle at the view's revision.
func (followerMachine *followerMachine) check(t *rapid.T) {
	for i, follower := range followerMachine.followers {
		view := follower.View()
		require.GreaterOrEqual(t, view.Revision(), followerMachine.seen[i], "revision went back")
		followerMachine.seen[i] = view.Revision()
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
		for j, record := range follower.recent {
			require.Equal(t, follower.Revision()-uint64(len(follower.recent)-1-j), record.Revision)
		}
	}
}

func TestFollowerNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newFollowerMachine()
		follower := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "follower") }
		t.Repeat(map[string]func(*rapid.T){
			"publish": machine.publish,
			"offer":   machine.offer,
			"profile": machine.profile,
			"poll":    func(t *rapid.T) { machine.followers[follower(t)].poll(context.Background()) },
			"hint": func(t *rapid.T) {
				machine.followers[follower(t)].Hint(uint64(rapid.IntRange(0, len(machine.records)).Draw(t, "revision")))
			},
			"restart":   func(t *rapid.T) { machine.restart(follower(t)) },
			"outage":    func(*rapid.T) { machine.table.down = !machine.table.down },
			"partition": func(t *rapid.T) { relay := machine.relays[follower(t)]; relay.lost = !relay.lost },
			"":          machine.check,
		})
	})
}

// midwayTable publishes during a profile's read, after the table answered.
type midwayTable struct {
	platform.Table
	after func()
}

func (midwayTable *midwayTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	items, err := midwayTable.Table.Get(ctx, keys...)
	if after := midwayTable.after; after != nil && len(keys) > 1 {
		midwayTable.after = nil
		after()
	}
	return items, err
}

func TestProfileReadWhileItChangesIsNotOlderThanTheView(t *testing.T) {
	for changes := 1; changes <= 4; changes++ {
		ctx := context.Background()
		inner := newFaultyTable(1, 0)
		table := &midwayTable{Table: inner}
		publisher := NewPublisher(PublisherConfig{Table: inner.Table})
		publish := func(change Change) {
			_, err := publisher.Publish(ctx, change)
			require.NoError(t, err)
		}
		profile := Profile{Name: "p", Callers: []string{"x"}, Services: []string{"y"}, Retired: true}
		publish(changeOf(t, "op-1", KindProfile, 0, profile))
		follower := newFollower(FollowerConfig{Table: table})
		follower.recentLimit = 2
		follower.poll(ctx)
		table.after = func() {
			profile.Priority = 5
			publish(changeOf(t, "op-2", KindProfile, 1, profile))
			for other := 1; other < changes; other++ {
				name := fmt.Sprint("s-", other)
				publish(changeOf(t, name, KindService, 0, Service{Name: name, Protocol: ProtocolPlain}))
			}
			follower.poll(ctx)
		}
		read, err := follower.Profile(ctx, "p")
		require.NoError(t, err)
		require.Equal(t, uint64(changes+1), follower.Revision())
		require.Equal(t, 5, read.Priority)
	}
}
