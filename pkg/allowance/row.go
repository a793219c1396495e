// Package allowance keeps the spend of teams inside prepaid budgets while every
// router may be cut off from the table, or killed, at any moment.
//
// A holder has tokens granted out of the pool. It publishes a pace with
// them: at most charged + base + pace x (time since the stamp) is spent or
// reserved. The pace is low at first: in touch the stamp is renewed all the time,
// and a holder that has used its base writes at once. The holder keeps to that on its own steady clock. The process that
// starts next under the same name knows that its predecessor is dead, so what
// lies above the pace's bound at its own start is free again.
//
// The flow: Holder decides in memory (holder.go) under the rules of row.go;
// Keeper publishes (keeper.go, table.go) and exchanges with its slice of the
// pool (exchange.go, slice.go) when schedule.go says so, with the amounts of
// plan.go; Reserve (reserve.go) is what requests call.
package allowance

import (
	"encoding/json"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Terms are what a holder has published for one team. Amounts are tokens and
// grow over the life of the holder's name.
type Terms struct {
	// Granted is what was taken out of the pool and not returned.
	Granted int64 `json:"g"`
	// Charged was spent or reserved at the stamp.
	Charged int64 `json:"c"`
	// Base may be spent at once on top of Charged.
	Base int64 `json:"b,omitempty"`
	// Pace is what may be spent in a second on top of that; see Row.Early.
	Pace int64 `json:"p,omitempty"`
	// Reported is the part of Charged that the pool row has.
	Reported int64 `json:"r"`
	// Demand is the use in tokens a second that the pool row has.
	Demand int64 `json:"d,omitempty"`
}

// Unspent returns what was granted and not charged.
func (terms Terms) Unspent() int64 { return terms.Granted - terms.Charged }

// Row is what a holder publishes.
type Row struct {
	// Process names the process that wrote the row.
	Process string `json:"process"`
	// Sequence counts the writes of the process.
	Sequence uint64 `json:"sequence"`
	// Stamp is at or before the platform's time at which the charges were taken.
	Stamp time.Duration `json:"stamp"`
	// Early is the time after the stamp in which only the part EarlyPart of the
	// pace may be spent.
	Early     time.Duration `json:"early"`
	EarlyPart float64       `json:"early_part"`
	// Teams holds the terms by the team's name.
	Teams map[string]Terms `json:"teams"`
}

// Bound returns the most that can have been charged to a team when the time
// has passed since the stamp.
func (row Row) Bound(name string, elapsed time.Duration) int64 {
	terms := row.Teams[name]
	early := min(max(elapsed, 0), row.Early)
	paced := early.Seconds()*row.EarlyPart + (max(elapsed, 0) - early).Seconds()
	return min(terms.Granted, terms.Charged+terms.Base+int64(float64(terms.Pace)*paced))
}

func decode[T any](value []byte) (T, error) {
	var decoded T
	if len(value) == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(value, &decoded); err != nil {
		return decoded, fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "a budget row can't be read",
			Remedy:  "remove what another program wrote to the budget table",
			Cause:   err,
		})
	}
	return decoded, nil
}

func encode(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // rows hold only numbers and names
	}
	return value
}
