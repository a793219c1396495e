package configuration

import (
	"context"
	"fmt"

	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// poll brings the view up to the newest revision that it can reach: from a
// peer if one has reported a newer revision, else from the table; from a peer
// again if the table is out of reach.
func (follower *Follower) poll(ctx context.Context) {
	if !follower.loaded.Load() {
		follower.try(ctx, "load the configuration", follower.load)
		return
	}
	if follower.known.Load() > follower.Revision() {
		follower.try(ctx, "take records from a peer", follower.pullFromPeer)
	}
	if follower.try(ctx, "poll the table", follower.pullFromTable) {
		return
	}
	follower.try(ctx, "take records from a peer", follower.pullFromPeer)
}

// try runs one bounded step and reports whether it succeeded.
func (follower *Follower) try(ctx context.Context, step string, run func(ctx context.Context) error) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := run(ctx)
	if err != nil {
		_ = level.Warn(follower.logger).Log("msg", "could not "+step, "revision", follower.Revision(), "err", err)
	}
	return err == nil
}

// readHead returns the newest revision of the table.
func (follower *Follower) readHead(ctx context.Context) (uint64, error) {
	items, err := follower.table.Get(ctx, headKey())
	if err != nil {
		return 0, err
	}
	row, err := platform.DecodeRow[headRow](items[0])
	return row.Revision, err
}

// pullFromTable reads the head and, if it is newer, the records since.
func (follower *Follower) pullFromTable(ctx context.Context) error {
	heard := follower.known.Load()
	head, err := follower.readHead(ctx)
	if err != nil {
		return err
	}
	follower.confirm(heard, head)
	for follower.Revision() < head {
		before := follower.Revision()
		records, err := readRecords(ctx, follower.table, before, pageRecords)
		if err != nil {
			return err
		}
		if err := follower.adopt(records); err != nil {
			return err
		}
		if follower.Revision() == before {
			return missingRecord(before + 1)
		}
	}
	return nil
}

// missingRecord reports a revision below the head that has no record.
func missingRecord(revision uint64) error {
	return fault.New(fault.Config{
		Kind:    fault.Internal,
		Message: fmt.Sprintf("the table has no record of revision %d, which is below its head", revision),
		Remedy:  "restore the record, or restart the router so that it loads the documents",
	})
}

// pullFromPeer takes records from a peer until it has no more.
func (follower *Follower) pullFromPeer(ctx context.Context) error {
	if follower.relay == nil {
		return nil
	}
	for {
		before := follower.Revision()
		records, err := follower.relay.Records(ctx, before)
		if err != nil {
			return err
		}
		if err := follower.adopt(records); err != nil {
			return err
		}
		if follower.Revision() == before {
			return nil
		}
	}
}

// load reads the documents of all kinds that a router holds whole. The reads
// are not one snapshot: documents may be newer than the head that was read
// first, so records since then are applied on top, each only where it is newer
// than the document.
func (follower *Follower) load(ctx context.Context) error {
	start, err := follower.readHead(ctx)
	if err != nil {
		return err
	}
	view := newView(follower.profiles)
	view.revision = start
	if err := loadFamily(ctx, follower.table, KindService, view.services); err != nil {
		return err
	}
	if err := loadFamily(ctx, follower.table, KindUpstream, view.upstreams); err != nil {
		return err
	}
	if err := loadFamily(ctx, follower.table, KindCaller, view.callers); err != nil {
		return err
	}
	view.index(map[Kind]bool{KindService: true, KindUpstream: true, KindCaller: true})
	view, err = follower.catchUp(ctx, view)
	if err != nil {
		return err
	}
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.install(view)
	follower.loaded.Store(true)
	return nil
}

// catchUp applies the records behind a loaded view, up to a head that is read
// after all documents were.
func (follower *Follower) catchUp(ctx context.Context, view *View) (*View, error) {
	head, err := follower.readHead(ctx)
	if err != nil {
		return nil, err
	}
	for view.revision < head {
		records, err := readRecords(ctx, follower.table, view.revision, pageRecords)
		if err != nil {
			return nil, err
		}
		next := following(records, view.revision)
		if len(next) == 0 {
			return nil, missingRecord(view.revision + 1)
		}
		if view, err = view.with(next); err != nil {
			return nil, err
		}
	}
	return view, nil
}

// loadFamily reads all documents of a kind, page by page.
func loadFamily[T any](ctx context.Context, table platform.Table, kind Kind, family map[string]held[T]) error {
	after := ""
	for {
		items, err := table.Query(ctx, platform.Query{Partition: partitionDocument + string(kind), After: after})
		if err != nil {
			return err
		}
		for _, item := range items {
			row, err := platform.DecodeRow[documentRow](item)
			if err != nil {
				return err
			}
			if err := applyTo(family, item.Key.Sort, row.Body, row.Revision); err != nil {
				return err
			}
			after = item.Key.Sort
		}
		if len(items) < platform.DefaultQueryLimit {
			return nil
		}
	}
}
