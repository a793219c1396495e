package configuration

// The flow: after Publish, Confirm passes the record to every live router and
// waits for each to say that it is on the revision. It says which are not and
// why. Nothing depends on it: a router that was not reached polls the table.

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// confirmConcurrency bounds the routers that are asked at the same time.
const confirmConcurrency = 32

// Adopted is what a router says of its configuration.
type AdoptResult struct {
	Revision uint64
	// Ready is false when the router does not serve its view.
	Ready bool
}

// Adopter passes records to a router and waits for it to have a revision, for
// as long as the context allows.
type Adopter interface {
	Adopt(ctx context.Context, address string, records []Record, revision uint64) (AdoptResult, error)
}

// Target is a router to be asked.
type ConfirmTarget struct {
	Incarnation string
	// Address is the peer address.
	Address string
}

// ConfirmConfig configures Confirm.
type ConfirmConfig struct {
	Adopter Adopter
	Targets []ConfirmTarget
	// Records are passed on; none asks only.
	Records []Record
	// Revision is waited for; zero asks only.
	Revision uint64
}

// Adoption tells whether one router has a revision.
type Adoption struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Revision    uint64 `json:"revision"`
	Adopted     bool   `json:"adopted"`
	// Reason says why the revision is not in force there; empty if it is.
	Reason string `json:"reason,omitempty"`
}

// Confirm asks all targets and returns their answers in the order of the
// targets. It ends when all have answered or the context ends.
func Confirm(ctx context.Context, config ConfirmConfig) []Adoption {
	adoptions := make([]Adoption, len(config.Targets))
	var group errgroup.Group
	group.SetLimit(confirmConcurrency)
	for i, target := range config.Targets {
		group.Go(func() error {
			adoptions[i] = confirmOne(ctx, config, target)
			return nil
		})
	}
	_ = group.Wait()
	return adoptions
}

func confirmOne(ctx context.Context, config ConfirmConfig, target ConfirmTarget) Adoption {
	adoption := Adoption{Incarnation: target.Incarnation, Address: target.Address}
	adopted, err := config.Adopter.Adopt(ctx, target.Address, config.Records, config.Revision)
	if err != nil {
		adoption.Reason = "not reached: " + fault.MessageOf(err)
		return adoption
	}
	adoption.Revision = adopted.Revision
	switch {
	case adopted.Revision < config.Revision:
		adoption.Reason = fmt.Sprintf("is on revision %d and could not get revision %d in time", adopted.Revision, config.Revision)
	case !adopted.Ready:
		adoption.Reason = "has the revision, but does not serve: its view is not confirmed"
	default:
		adoption.Adopted = true
	}
	return adoption
}
