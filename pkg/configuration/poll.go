package configuration

import (
	"context"
	"fmt"

	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// poll loads the configuration if it is not loaded yet. Otherwise it updates the
// view: first from a peer if a newer revision is known, then from the table, and
// from a peer if the table is unreachable.
func (follower *Follower) poll(ctx context.Context) {
	if !follower.loaded.Load() {
		follower.runStep(ctx, "load the configuration", follower.load)
		return
	}
	if follower.latestKnown.Load() > follower.Revision() {
		follower.runStep(ctx, "fetch records from a peer", follower.pullFromPeer)
	}
	if follower.runStep(ctx, "poll the table", follower.pullFromTable) {
		return
	}
	follower.runStep(ctx, "fetch records from a peer", follower.pullFromPeer)
}

// runStep runs one step and reports whether it succeeded. It logs an error. Each call
// of a step has a timeout of its own, as a large configuration takes many.
func (follower *Follower) runStep(ctx context.Context, description string, run func(ctx context.Context) error) bool {
	err := run(ctx)
	if err != nil {
		_ = level.Warn(follower.logger).Log("msg", "could not "+description, "revision", follower.Revision(), "err", err)
	}
	return err == nil
}

// readHead returns the newest revision of the table.
func (follower *Follower) readHead(ctx context.Context) (uint64, error) {
	items, err := follower.polledTable.Get(ctx, headKey())
	if err != nil {
		return 0, err
	}
	row, err := platform.DecodeRow[headRow](items[0])
	return row.Revision, err
}

// pullFromTable reads the head and adopts the records between the view and the
// head.
func (follower *Follower) pullFromTable(ctx context.Context) error {
	knownBeforeRead := follower.latestKnown.Load()
	head, err := follower.readHead(ctx)
	if err != nil {
		return err
	}
	follower.confirmHead(knownBeforeRead, head)
	for follower.Revision() < head {
		previous := follower.Revision()
		records, err := readRecords(ctx, follower.polledTable, previous, maxRecordsPerRead)
		if err != nil {
			return err
		}
		if err := follower.adopt(records); err != nil {
			return err
		}
		if follower.Revision() == previous {
			return missingRecord(previous + 1)
		}
	}
	return nil
}

// missingRecord is the error for a revision that has no record in the table,
// although the head is at that revision or later.
func missingRecord(revision uint64) error {
	return fault.New(fault.Config{
		Kind:    fault.Internal,
		Message: fmt.Sprintf("the table has no record of revision %d, although its head is at that revision or later", revision),
		Remedy:  "restore the record, or restart the router so that it loads the documents",
	})
}

// pullFromPeer adopts records from peers until they have no newer ones.
func (follower *Follower) pullFromPeer(ctx context.Context) error {
	if follower.peerReader == nil {
		return nil
	}
	for {
		previous := follower.Revision()
		records, err := follower.readPeerRecords(ctx, previous)
		if err != nil {
			return err
		}
		if err := follower.adopt(records); err != nil {
			return err
		}
		if follower.Revision() == previous {
			return nil
		}
	}
}

func (follower *Follower) readPeerRecords(ctx context.Context, after uint64) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return follower.peerReader.Records(ctx, after)
}

// load reads all services, upstreams and callers. Profiles are read on demand.
// The reads are not one snapshot, so documents may be newer than the head, which
// was read first. The records after that head are therefore applied too, each
// only if it is newer than the document.
func (follower *Follower) load(ctx context.Context) error {
	initialHead, err := follower.readHead(ctx)
	if err != nil {
		return err
	}
	view := newView(follower.profiles)
	view.revision = initialHead
	if err := loadDocuments(ctx, follower.polledTable, KindService, view.services); err != nil {
		return err
	}
	if err := loadDocuments(ctx, follower.polledTable, KindUpstream, view.upstreams); err != nil {
		return err
	}
	if err := loadDocuments(ctx, follower.polledTable, KindCaller, view.callers); err != nil {
		return err
	}
	view.rebuildIndexes(map[Kind]bool{KindService: true, KindUpstream: true, KindCaller: true})
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

// catchUp applies the records after the view's revision, up to the head. It must
// read the head after the documents, so that no document is newer than the view.
func (follower *Follower) catchUp(ctx context.Context, view *View) (*View, error) {
	head, err := follower.readHead(ctx)
	if err != nil {
		return nil, err
	}
	for view.revision < head {
		records, err := readRecords(ctx, follower.polledTable, view.revision, maxRecordsPerRead)
		if err != nil {
			return nil, err
		}
		nextRecords := contiguousRecords(records, view.revision)
		if len(nextRecords) == 0 {
			return nil, missingRecord(view.revision + 1)
		}
		if view, err = view.withRecords(nextRecords); err != nil {
			return nil, err
		}
	}
	return view, nil
}

// loadDocuments reads all documents of a kind into a map, page by page.
func loadDocuments[T any](ctx context.Context, table platform.Table, kind Kind, byName map[string]versionedDocument[T]) error {
	lastName := ""
	for {
		items, err := table.Query(ctx, platform.Query{Partition: partitionDocument + string(kind), After: lastName})
		if err != nil {
			return err
		}
		for _, item := range items {
			row, err := platform.DecodeRow[documentRow](item)
			if err != nil {
				return err
			}
			if err := applyDocument(byName, item.Key.Sort, row.Body, row.Revision); err != nil {
				return err
			}
			lastName = item.Key.Sort
		}
		if len(items) < platform.DefaultQueryLimit {
			return nil
		}
	}
}
