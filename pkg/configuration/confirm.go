package configuration

// After Publish, Confirm sends the record to every live router, waits for each
// to report that it has adopted the revision, and returns which routers have
// not and why. Correctness does not depend on it: a router that was not reached
// gets the record when it polls the table.

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// confirmConcurrency is the maximum number of concurrent calls to routers.
const confirmConcurrency = 32

// AdoptResult is the state of a router's configuration, as the router reports it.
type AdoptResult struct {
	// Revision is the revision of the router's view.
	Revision uint64
	// Ready is false if the router's view is not loaded or is outdated, so that
	// the router serves no requests with it.
	Ready bool
}

// Adopter sends records to the router at a peer address and waits until its view
// has reached a revision or the context ends. With a revision of zero it does not
// wait. After an error, it is not known which revision the router has.
type Adopter interface {
	Adopt(ctx context.Context, address string, records []Record, revision uint64) (AdoptResult, error)
}

// ConfirmTarget is a router that Confirm calls.
type ConfirmTarget struct {
	Incarnation string
	// Address is the router's host and port for calls from peers.
	Address string
}

// ConfirmConfig configures Confirm.
type ConfirmConfig struct {
	Adopter Adopter
	Targets []ConfirmTarget
	// Records are sent to each target; if empty, Confirm only queries the targets.
	Records []Record
	// Revision is the revision that each target must reach; zero means that
	// Confirm does not wait for one.
	Revision uint64
}

// Adoption reports whether one router has adopted a revision.
type Adoption struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Revision    uint64 `json:"revision"`
	Adopted     bool   `json:"adopted"`
	// Reason says why the router does not serve the revision; empty if it does.
	Reason string `json:"reason,omitempty"`
}

// Confirm calls all targets and returns their results in the order of the
// targets. It returns when all calls have ended; the context bounds them.
func Confirm(ctx context.Context, config ConfirmConfig) []Adoption {
	adoptions := make([]Adoption, len(config.Targets))
	var group errgroup.Group
	group.SetLimit(confirmConcurrency)
	for i, target := range config.Targets {
		group.Go(func() error {
			adoptions[i] = confirmTarget(ctx, config, target)
			return nil
		})
	}
	_ = group.Wait()
	return adoptions
}

func confirmTarget(ctx context.Context, config ConfirmConfig, target ConfirmTarget) Adoption {
	adoption := Adoption{Incarnation: target.Incarnation, Address: target.Address}
	result, err := config.Adopter.Adopt(ctx, target.Address, config.Records, config.Revision)
	if err != nil {
		adoption.Reason = "not reached: " + fault.MessageOf(err)
		return adoption
	}
	adoption.Revision = result.Revision
	switch {
	case result.Revision < config.Revision:
		adoption.Reason = fmt.Sprintf("is on revision %d and could not get revision %d in time", result.Revision, config.Revision)
	case !result.Ready:
		adoption.Reason = "has the revision, but is not ready to serve it"
	default:
		adoption.Adopted = true
	}
	return adoption
}
