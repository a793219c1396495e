// Package directory holds which routers are alive, from a row that each of
// them writes, and answers which addresses a caller uses.
//
// The flow: Directory refreshes the own row and reads all rows on one
// goroutine; a row that has not changed for some time in touch is taken as
// dead. Out of touch nobody is: the last belief stands. select.go says how many
// of them callers are led to.
package directory

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

const (
	// partition holds the rows of all routers.
	partition = "routers"

	defaultInterval = time.Second
	// refreshEvery is the number of intervals between two writes of a row that
	// has nothing new to say.
	refreshEvery = 2
	// deadAfter is how long in touch a row may stay unchanged.
	deadAfter = 6 * time.Second
	// countedGap bounds the time between two reads that counts as in touch.
	countedGap = 1500 * time.Millisecond
	// callTimeout bounds one call of the table.
	callTimeout = 900 * time.Millisecond
	// MaxAddresses bounds the addresses of one answer.
	MaxAddresses = 64
)

// Member is what a router says of itself.
type Member struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Leaving is set from the start of a shutdown.
	Leaving bool `json:"leaving,omitempty"`
	// Capacity is how many requests a second the router can carry.
	CapacityPerSecond float64 `json:"capacity,omitempty"`
	// Load is how many it got lately.
	LoadPerSecond float64 `json:"load,omitempty"`
	// Beat counts the writes.
	Beat uint64 `json:"beat"`
}

// Config configures a Directory.
type Config struct {
	Table platform.VersionedTable
	// Name is the router's name, the same over restarts of one VM.
	Name   string
	Self   Member
	Logger log.Logger
	// Load returns how many requests a second the router gets; nil means none.
	LoadPerSecond func() float64
	// Interval is the time between two reads; zero means one second.
	Interval time.Duration
	// Now is the steady clock; nil means time.Now.
	Now func() time.Time
}

// seen is what is known of another router.
type seen struct {
	member  Member
	version uint64
	// unchanged is how long in touch the row has stayed as it is.
	unchanged time.Duration
	alive     bool
}

// Directory is one router's belief about the fleet.
type Directory struct {
	config Config
	cancel context.CancelFunc
	done   chan struct{}
	kick   chan struct{}

	mutex  sync.Mutex
	self   Member
	others map[string]*seen
	readAt time.Time
}

// New returns a running directory.
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
	return &Directory{
		config: config, self: config.Self, others: make(map[string]*seen),
		done: make(chan struct{}), kick: make(chan struct{}, 1),
	}
}

func (directory *Directory) run(ctx context.Context) {
	ticker := time.NewTicker(directory.config.Interval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		if turn%refreshEvery == 0 {
			directory.note("directory_write_failed", directory.write(ctx))
		}
		directory.note("directory_read_failed", directory.read(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-directory.kick:
			turn = -1
		}
	}
}

func (directory *Directory) note(event string, err error) {
	if err != nil {
		_ = directory.config.Logger.Log("event", event, "err", err)
	}
}

// write refreshes the own row. Nobody else writes it, so it has no condition.
func (directory *Directory) write(ctx context.Context) error {
	directory.mutex.Lock()
	directory.self.Beat++
	if directory.config.LoadPerSecond != nil {
		directory.self.LoadPerSecond = math.Round(directory.config.LoadPerSecond())
	}
	value, err := json.Marshal(directory.self)
	directory.mutex.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = directory.config.Table.Commit(ctx, platform.Transaction{Writes: []platform.Write{{
		Key: platform.Key{Partition: partition, Sort: directory.config.Name}, Value: value,
	}}})
	return err
}

func (directory *Directory) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := directory.config.Table.Read(ctx, platform.Query{Partition: partition})
	if err != nil {
		return err
	}
	directory.adopt(items, directory.config.Now())
	return nil
}

// adopt takes in the rows of all routers.
func (directory *Directory) adopt(items []platform.Item, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	passed := time.Duration(0)
	if !directory.readAt.IsZero() {
		passed = min(now.Sub(directory.readAt), countedGap)
	}
	directory.readAt = now
	for _, item := range items {
		if item.Key.Sort != directory.config.Name {
			directory.observe(item, passed)
		}
	}
}

func (directory *Directory) observe(item platform.Item, passed time.Duration) {
	name := item.Key.Sort
	known, ok := directory.others[name]
	if !ok {
		known = &seen{}
		directory.others[name] = known
	}
	if item.Version == known.version {
		known.unchanged += passed
		if known.alive && known.unchanged > deadAfter {
			known.alive = false
			_ = directory.config.Logger.Log("event", "router_gone", "router", name, "unchanged", known.unchanged)
		}
		return
	}
	var member Member
	if err := json.Unmarshal(item.Value, &member); err != nil || member.Address == "" {
		_ = directory.config.Logger.Log("event", "router_row_unreadable", "router", name, "version", item.Version, "err", err)
		return
	}
	if !known.alive || known.member.Leaving != member.Leaving {
		_ = directory.config.Logger.Log("event", "router_seen", "router", name, "address", member.Address, "leaving", member.Leaving)
	}
	*known = seen{member: member, version: item.Version, alive: true}
}

// Leave announces that the router takes no new callers.
func (directory *Directory) Leave() {
	directory.mutex.Lock()
	directory.self.Leaving = true
	directory.mutex.Unlock()
	select {
	case directory.kick <- struct{}{}:
	default:
	}
}

// Alive returns how many routers are believed to be alive, this one included;
// zero before the rows were read.
func (directory *Directory) AliveCount() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.readAt.IsZero() {
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

// Serving returns how many routers callers are led to, zero before the rows
// were read, and whether this one is among them.
func (directory *Directory) ServingCount() (count int, self bool) {
	if directory.AliveCount() == 0 {
		return 0, true
	}
	chosen := selectMembers(directory.present())
	for _, member := range chosen {
		self = self || member.Address == directory.config.Self.Address
	}
	return len(chosen), self
}

// Known returns how many routers have been seen, alive or not.
func (directory *Directory) KnownCount() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.others) + 1
}

// Addresses returns where a caller may connect, the nearest first.
func (directory *Directory) Addresses(region, zone string) []string {
	members := selectMembers(directory.present())
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(distance(a, region, zone), distance(b, region, zone)), strings.Compare(a.Address, b.Address))
	})
	addresses := make([]string, 0, len(members))
	for _, member := range members[:min(len(members), MaxAddresses)] {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// present returns the routers that take callers, or this one alone.
func (directory *Directory) present() []Member {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	members := make([]Member, 0, len(directory.others)+1)
	if !directory.self.Leaving {
		members = append(members, directory.self)
	}
	for _, other := range directory.others {
		if other.alive && !other.member.Leaving {
			members = append(members, other.member)
		}
	}
	if len(members) == 0 {
		members = append(members, directory.self)
	}
	return members
}

func distance(member Member, region, zone string) int {
	switch {
	case member.Zone == zone:
		return 0
	case member.Region == region:
		return 1
	default:
		return 2
	}
}

// Close stops reading and writes the own row a last time.
func (directory *Directory) Close(ctx context.Context) error {
	directory.cancel()
	<-directory.done
	return directory.write(ctx)
}
