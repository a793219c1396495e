// Package directory tracks which routers of the fleet are alive, by a row that
// each of them writes to a shared table, and returns the addresses of the
// routers that callers are directed to.
//
// The flow: one goroutine of Directory writes the router's own row and reads the
// rows periodically. The rows of the routers that callers are directed to are in a
// partition of their own, which is read often; those of the others (standby routers)
// are written and read seldom, so that the cost of a router doesn't grow with the
// fleet. Each router decides by itself in which of the partitions its row belongs
// (tier.go). A router is declared dead when its row stays unchanged for too long. Only
// connected time counts, which is the time in which the table could be read: while it
// is unreachable, the last known states stay. A row that changes because the table was
// restored from an older copy is no sign of life. select.go selects the routers that
// callers are directed to.
package directory

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

const (
	// partition is the table partition with the rows of the routers that callers are
	// directed to, standbyPartition that with the rows of the others.
	partition        = "routers"
	standbyPartition = "routers-standby"

	defaultInterval = time.Second
	// maxStandbyUnchangedDuration is that of a standby router, whose row only counts when
	// it is read: the time of two writes.
	maxStandbyUnchangedDuration = 10 * time.Second
	// callTimeout bounds one call of the table.
	callTimeout = 900 * time.Millisecond
	// MaxAddresses is the maximum number of addresses that Addresses returns.
	MaxAddresses = 64
)

// Member is a router's description of itself, stored in its row.
type Member struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Leaving is set when the router starts to shut down.
	Leaving bool `json:"leaving,omitempty"`
	// CapacityPerSecond is the number of requests that the router can handle in
	// a second.
	CapacityPerSecond float64 `json:"capacity,omitempty"`
	// LoadPerSecond is the number of requests that the router has recently
	// received in a second.
	LoadPerSecond float64 `json:"load,omitempty"`
	// Listed is the number of routers that a serving router directed callers to when it
	// wrote its row.
	Listed int `json:"listed,omitempty"`
	// Known is the number of routers, alive or not, that a serving router knew when it
	// wrote its row.
	Known int `json:"known,omitempty"`
	// Heartbeat counts the writes of the row.
	Heartbeat uint64 `json:"beat"`
}

// Config configures a Directory.
type Config struct {
	// Table is the table that all routers share.
	Table platform.VersionedTable
	// Name is the router's name; it stays the same when its VM restarts.
	Name   string
	Self   Member
	Logger log.Logger
	// LoadPerSecond returns the value that is written as Member.LoadPerSecond; nil
	// means that Self.LoadPerSecond is written.
	LoadPerSecond func() float64
	// Interval is the time between two reads of the routers that callers are directed
	// to, if this router is one of them; zero means one second.
	Interval time.Duration
	// LossBound is the time after which a router that has stopped must not be among
	// Addresses any more; zero selects a slower detection that costs fewer calls.
	LossBound time.Duration
	// Now is the monotonic clock; nil means time.Now.
	Now func() time.Time
}

// routerState is the last known state of another router.
type routerState struct {
	member  Member
	version uint64
	// versionUndone is set when the table was restored since the row was read, so that
	// the row may be an older one.
	versionUndone bool
	// changedAt is the connected time of the first read, of any row, after the row last
	// changed.
	changedAt time.Duration
	alive     bool
	// doubtful is set if the row of a standby router was older than detection.maxUnchanged
	// when it was read.
	doubtful bool
	// standby is set while the row is in the partition of standby routers. If callers
	// are directed to the router all the same, selectedAt is the connected time since
	// when; otherwise it is zero.
	standby    bool
	selectedAt time.Duration
}

// Directory is one router's view of the fleet. It is safe for concurrent use.
type Directory struct {
	config    Config
	detection detection
	cancel    context.CancelFunc
	done      chan struct{}
	// writeNow requests a write of the own row before the next interval.
	writeNow chan struct{}

	mutex sync.Mutex
	self  Member
	// others maps the names of the other routers to their last known states.
	others map[string]*routerState
	// unreadable maps the names of rows that can't be used to their versions.
	unreadable map[string]uint64
	// lastReadAt is when the rows were last read; zero before the first read.
	lastReadAt time.Time
	// connectedTime is the time in which the table could be read, since the start.
	connectedTime time.Duration
	// afterGap is set from a gap until the rows of the serving routers are read.
	afterGap bool
	// tableVersions are the versions that the table had at the last reads, in order.
	tableVersions []tableVersion
	// standby is set while the own row belongs into the partition of standby routers, as
	// it does until the router knows better, and stale while it may be in the other
	// partition, too. written is set once the row has been written.
	standby, stale, written bool
	// standbyRead is set once the rows of the standby routers have been read.
	standbyRead bool
	// standbyWanted is the number of reads of the standby routers that are to be made
	// out of turn, because some may take the places of others.
	standbyWanted int
	// selected are the routers that callers are directed to, and isSelected is set if
	// this router is one of them.
	selected   []Member
	isSelected bool
	// era is that of the last read.
	era uint64
	// stated is the largest Member.Known that was read.
	stated int
}

// New returns a directory and starts its goroutine; Close stops it.
func New(config Config) *Directory {
	directory := newDirectory(config)
	ctx, cancel := context.WithCancel(context.Background())
	directory.cancel = cancel
	go func() {
		defer close(directory.done)
		directory.run(ctx)
	}()
	return directory
}

func newDirectory(config Config) *Directory {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	directory := &Directory{
		config: config, detection: newDetection(config), self: config.Self, standby: true, others: make(map[string]*routerState), unreadable: make(map[string]uint64),
		done: make(chan struct{}), writeNow: make(chan struct{}, 1),
	}
	directory.updateSelection()
	return directory
}

// succeeds reports whether a call succeeded, and logs its error otherwise.
func (directory *Directory) succeeds(event string, err error) bool {
	if err != nil {
		_ = directory.config.Logger.Log("event", event, "err", err)
	}
	return err == nil
}

// write writes the router's own row. The write is unconditional, since no other
// process writes this row.
func (directory *Directory) write(ctx context.Context) error {
	directory.mutex.Lock()
	directory.self.Heartbeat++
	if directory.config.LoadPerSecond != nil {
		directory.self.LoadPerSecond = math.Round(directory.config.LoadPerSecond())
	}
	directory.self.Listed, directory.self.Known = 0, 0
	if !directory.standby {
		directory.self.Listed, directory.self.Known = len(directory.selected), len(directory.others)+1
	}
	value, err := json.Marshal(directory.self)
	own, other := partition, standbyPartition
	if directory.standby {
		own, other = other, own
	}
	writes := []platform.Write{{Key: platform.Key{Partition: own, Sort: directory.config.Name}, Value: value}}
	if directory.stale {
		writes = append(writes, platform.Write{Key: platform.Key{Partition: other, Sort: directory.config.Name}, Action: platform.Delete})
	}
	wasStandby := directory.standby
	directory.mutex.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = directory.config.Table.Commit(ctx, platform.Transaction{Writes: writes})
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stale = directory.stale && (err != nil || directory.standby != wasStandby)
	directory.written = directory.written || err == nil
	return err
}

// read reads the rows of one partition.
func (directory *Directory) read(ctx context.Context, partition string, apply func(items []platform.Item, now time.Time)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, receipt, err := directory.config.Table.Read(ctx, platform.Query{Partition: partition})
	if err != nil {
		return err
	}
	if directory.enterEra(receipt.Era) {
		apply(items, directory.config.Now())
		directory.recordVersion(receipt.Version)
	}
	return nil
}

// advance adds the time since the last read to the connected time.
func (directory *Directory) advance(now time.Time) {
	if !directory.lastReadAt.IsZero() {
		directory.afterGap = directory.afterGap || now.Sub(directory.lastReadAt) > directory.detection.maxGap
		directory.connectedTime += min(now.Sub(directory.lastReadAt), directory.detection.maxGap)
	}
	directory.lastReadAt = now
}

// enterEra prepares for the rows of a table that was restored, if the era is later
// than that of the last read. It reports whether the rows are to be used.
func (directory *Directory) enterEra(era uint64) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if era <= directory.era {
		return era == directory.era || era == 0 // an answer that states no era
	}
	previous := directory.era
	directory.era = era
	if directory.lastReadAt.IsZero() {
		return true
	}
	directory.tableVersions = nil
	for _, state := range directory.others {
		state.versionUndone = true
	}
	_ = directory.config.Logger.Log("event", "directory_restored", "old_era", previous, "era", era, "routers", len(directory.others))
	directory.requestWrite() // the own row may be an older one, too
	return true
}

// applyRows updates the states of the other routers from the rows of those that
// callers are directed to.
func (directory *Directory) applyRows(items []platform.Item, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.advance(now)
	listed := directory.applyItems(items, false)
	directory.limitAfterGap()
	for name, state := range directory.others {
		switch {
		case state.standby:
			directory.checkTakesPart(name, state)
			continue
		case listed[name]:
		case state.versionUndone || state.version == 0:
			state.version, state.versionUndone = 0, false // it will write its row again
		default:
			state.standby, state.changedAt = true, directory.connectedTime
		}
		directory.checkAlive(name, state)
	}
	directory.updateSelection()
}

// applyItems updates the states of the other routers from the rows of a partition, and
// returns the names of the rows.
func (directory *Directory) applyItems(items []platform.Item, standby bool) map[string]bool {
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key.Sort] = true
		switch {
		case item.Key.Sort != directory.config.Name:
			directory.applyRow(item, standby)
		case !standby && !directory.written:
			directory.standby = false // as the preceding process left it
		case standby != directory.standby:
			directory.stale = true
		}
	}
	return listed
}

func (directory *Directory) applyRow(item platform.Item, standby bool) {
	name := item.Key.Sort
	state, ok := directory.others[name]
	if ok && state.versionUndone {
		state.version, state.versionUndone, state.standby = item.Version, false, standby
	}
	if ok && item.Version <= state.version {
		return // unchanged, or left behind in the other partition
	}
	member, err := decodeMember(item.Value)
	if err != nil {
		directory.logUnreadable(item, err)
		return
	}
	if !ok {
		state = &routerState{}
		directory.others[name] = state
	}
	directory.stated = max(directory.stated, member.Known)
	if !state.alive || state.member.Leaving != member.Leaving {
		_ = directory.config.Logger.Log("event", "router_seen", "router", name, "address", member.Address, "leaving", member.Leaving)
	}
	*state = routerState{member: member, version: item.Version, alive: true, changedAt: directory.changedAt(item.Version), standby: standby}
}

// checkAlive declares a router dead that hasn't written its row for too long.
func (directory *Directory) checkAlive(name string, state *routerState) {
	unchanged, limit := directory.connectedTime-state.changedAt, directory.detection.maxUnchanged
	if state.standby {
		limit = maxStandbyUnchangedDuration
	}
	if !state.alive || unchanged <= limit {
		return
	}
	state.alive = false
	if !state.standby {
		directory.standbyWanted = listsAfterLoss
	}
	_ = directory.config.Logger.Log("event", "router_gone", "router", name, "unchanged", unchanged, "standby", state.standby)
}

// logUnreadable logs once that a version of a row can't be used.
func (directory *Directory) logUnreadable(item platform.Item, err error) {
	if directory.unreadable[item.Key.Sort] == item.Version {
		return
	}
	directory.unreadable[item.Key.Sort] = item.Version
	_ = directory.config.Logger.Log("event", "router_row_unreadable", "router", item.Key.Sort, "version", item.Version, "err", err)
}

// decodeMember decodes a row and checks that callers can be directed to its router.
func decodeMember(value []byte) (Member, error) {
	var member Member
	if err := json.Unmarshal(value, &member); err != nil {
		return Member{}, err
	}
	host, port, err := net.SplitHostPort(member.Address)
	if err != nil || host == "" {
		return Member{}, errors.New("the address isn't a host and a port")
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return Member{}, errors.New("the port is out of range")
	}
	if member.CapacityPerSecond < 0 || member.LoadPerSecond < 0 || member.Listed < 0 || member.Known < 0 {
		return Member{}, errors.New("the capacity, the load or a number of routers is below zero")
	}
	return member, nil
}

// Leave marks the router as leaving, so that no new callers are directed to it,
// and requests an immediate write of its row.
func (directory *Directory) Leave() {
	directory.mutex.Lock()
	directory.self.Leaving = true
	directory.updateSelection()
	directory.mutex.Unlock()
	directory.requestWrite()
}

// requestWrite requests a write of the own row before the next interval.
func (directory *Directory) requestWrite() {
	select {
	case directory.writeNow <- struct{}{}:
	default:
	}
}

// AliveCount returns the number of routers that are alive and not leaving. It
// always counts this router, and is zero until the rows have been read once.
func (directory *Directory) AliveCount() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.lastReadAt.IsZero() {
		return 0
	}
	count := 1
	for _, other := range directory.others {
		if other.alive && !other.member.Leaving {
			count++
		}
	}
	return count
}

// ServingCount returns the number of routers that callers are directed to, and
// whether this router is one of them. Until the rows have been read once, it
// returns zero and true.
func (directory *Directory) ServingCount() (count int, isServing bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if !directory.hasReadAll() {
		return 0, true
	}
	return len(directory.selected), directory.isSelected
}

// KnownCount returns the number of routers, alive or not, whose row was read
// since the start, plus one for this router; or the number that a serving router has
// stated, if it is larger.
func (directory *Directory) KnownCount() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return max(len(directory.others)+1, directory.stated)
}

// Addresses returns the addresses of the routers that callers are directed to:
// first those in the zone, then those in the region, then the others. There is
// always at least one, and at most MaxAddresses.
func (directory *Directory) Addresses(region, zone string) []string {
	directory.mutex.Lock()
	members := slices.Clone(directory.selected)
	directory.mutex.Unlock()
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(zoneDistance(a, region, zone), zoneDistance(b, region, zone)), strings.Compare(a.Address, b.Address))
	})
	addresses := make([]string, 0, len(members))
	for _, member := range members[:min(len(members), MaxAddresses)] {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

func zoneDistance(member Member, region, zone string) int {
	switch {
	case member.Zone == zone:
		return 0
	case member.Region == region:
		return 1
	default:
		return 2
	}
}

// Close stops the goroutine and writes the router's own row a last time. The
// error is that of the write.
func (directory *Directory) Close(ctx context.Context) error {
	directory.cancel()
	<-directory.done
	return directory.write(ctx)
}
