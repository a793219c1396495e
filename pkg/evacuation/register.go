// Package evacuation holds the availability zones to whose upstreams nothing may be
// sent, because an operator has evacuated them.
//
// The load that it addresses: a zone fails, or is about to be switched off, while its
// upstreams still accept requests, and the table that names the zone is itself cut off
// or restored from a copy that lacks the row.
//
// Put, Remove and Replace record what the table says. Settle takes back the zones whose
// rows were not written again after a restore.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxZones limits the evacuated zones, and those remembered as taken back. What other
	// writers add beyond it is ignored.
	MaxZones = 512
	// MaxNameBytes limits the name of a zone.
	MaxNameBytes = 256
)

// RegisterConfig configures a Register.
type RegisterConfig struct {
	// RewriteTime is how long after a restore of the table, or after contact with it is
	// regained, an operator may need to write the rows that the copy lacks.
	RewriteTime time.Duration
	// OnTakenBack is called before requests may be sent to the zone again; nil isn't
	// called. It must not change the Register.
	OnTakenBack func(zone string, now time.Time)
}

// Change lists the zones whose state changed, in alphabetical order.
type Change struct {
	Evacuated, TakenBack []string
}

// Register holds the evacuated zones. It is safe for concurrent use. Methods that only
// read it don't wait for others. A nil Register has no zones.
type Register struct {
	config RegisterConfig
	state  atomic.Pointer[state]
	// mutex is held while the state is replaced.
	mutex        sync.Mutex
	disconnected bool
}

// NewRegister returns a register without zones, of a table that hasn't answered yet.
func NewRegister(config RegisterConfig) *Register {
	register := &Register{config: config, disconnected: true}
	register.state.Store(&state{})
	return register
}

// IsEvacuated reports whether nothing may be sent to upstreams in the zone.
func (register *Register) IsEvacuated(zone string) bool {
	if register == nil {
		return false
	}
	_, evacuated := register.state.Load().evacuated[zone]
	return evacuated
}

// TakenBackAt returns when the zone was taken back. It reports false if the zone is
// evacuated or never was.
func (register *Register) TakenBackAt(zone string) (time.Time, bool) {
	if register == nil {
		return time.Time{}, false
	}
	at, ok := register.state.Load().takenBack[zone]
	return at, ok
}

// Zones returns the evacuated zones in alphabetical order.
func (register *Register) Zones() []string {
	if register == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(register.state.Load().evacuated))
}

// Put evacuates the zone. It reports whether that is new.
func (register *Register) Put(zone string, now time.Time) bool {
	return len(register.update(now, func(state state) state { return state.withEvacuated(zone) }).Evacuated) > 0
}

// Remove takes the zone back. It reports whether it was evacuated.
func (register *Register) Remove(zone string, now time.Time) bool {
	return len(register.update(now, func(state state) state { return state.withTakenBack(zone, now) }).TakenBack) > 0
}

// Replace records a read of the whole table. Zones that it lacks are taken back. If the
// table was restored since the last call, the rows may be older than what is known: known
// zones then stay evacuated until RewriteTime has passed without a row.
func (register *Register) Replace(zones []string, restored bool, now time.Time) Change {
	return register.update(now, func(state state) state {
		for _, zone := range zones {
			state = state.withEvacuated(zone)
		}
		for zone, awaitedUntil := range state.evacuated {
			switch {
			case slices.Contains(zones, zone):
			case restored:
				state = state.withAwaited(zone, now.Add(register.config.RewriteTime))
			case awaitedUntil.IsZero():
				state = state.withTakenBack(zone, now)
			}
		}
		return state
	})
}

// Disconnected records that the table doesn't answer, so that operators may be unable to
// write either.
func (register *Register) Disconnected() {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	register.disconnected = true
}

// Reconnected records that the table answers again. The time to write missing rows begins
// anew.
func (register *Register) Reconnected(now time.Time) {
	register.mutex.Lock()
	register.disconnected = false
	register.mutex.Unlock()
	register.update(now, func(state state) state {
		for zone, awaitedUntil := range state.evacuated {
			if !awaitedUntil.IsZero() {
				state = state.withAwaited(zone, now.Add(register.config.RewriteTime))
			}
		}
		return state
	})
}

// Settle takes back the zones whose rows were not written again in time, and returns
// them. While the table doesn't answer, there are none.
func (register *Register) Settle(now time.Time) []string {
	return register.update(now, func(state state) state {
		if register.disconnected {
			return state
		}
		for zone, awaitedUntil := range state.evacuated {
			if !awaitedUntil.IsZero() && !now.Before(awaitedUntil) {
				state = state.withTakenBack(zone, now)
			}
		}
		return state
	}).TakenBack
}

// update replaces the state. OnTakenBack is called before the new state is in force, so
// that no request reaches a zone before its engines count as cold.
func (register *Register) update(now time.Time, next func(state) state) Change {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	previous := *register.state.Load()
	following := next(previous)
	change := Change{Evacuated: missingIn(previous, following), TakenBack: missingIn(following, previous)}
	if register.config.OnTakenBack != nil {
		for _, zone := range change.TakenBack {
			register.config.OnTakenBack(zone, now)
		}
	}
	register.state.Store(&following)
	return change
}
