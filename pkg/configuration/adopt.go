package configuration

// How records are applied: Follower passes new records to View.withRecords,
// which copies only the document maps of the kinds that the records change,
// applies each record that is newer than the document in the map, and rebuilds
// the indexes of those kinds.

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// withRecords returns a new view with the records applied. The records must
// continue the view's revision without a gap. The old view is unchanged.
func (view *View) withRecords(records []Record) (*View, error) {
	next := *view
	changedKinds := make(map[Kind]bool)
	for _, record := range records {
		if !changedKinds[record.Change.Kind] {
			changedKinds[record.Change.Kind] = true
			next.copyDocuments(record.Change.Kind)
		}
		if err := next.applyRecord(record); err != nil {
			return nil, err
		}
		next.revision = record.Revision
	}
	next.rebuildIndexes(changedKinds)
	return &next, nil
}

// copyDocuments clones the document map of a kind, because the old view shares
// it. Profiles need no copy: all views share one cache.
func (view *View) copyDocuments(kind Kind) {
	switch kind {
	case KindService:
		view.services = maps.Clone(view.services)
	case KindUpstream:
		view.upstreams = maps.Clone(view.upstreams)
	case KindCaller:
		view.callers = maps.Clone(view.callers)
	case KindProfile, KindLimit:
	}
}

// applyRecord modifies the view in place, so the view must not be published yet.
func (view *View) applyRecord(record Record) error {
	name := record.Change.Name
	body := record.Change.Body
	switch record.Change.Kind {
	case KindService:
		return applyDocument(view.services, name, body, record.Revision)
	case KindUpstream:
		return applyDocument(view.upstreams, name, body, record.Revision)
	case KindCaller:
		return applyDocument(view.callers, name, body, record.Revision)
	case KindProfile:
		return view.profiles.apply(name, body, record.Revision)
	case KindLimit:
		return nil
	default:
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "record of unknown kind " + string(record.Change.Kind),
			Remedy:  "upgrade this router to the version that published the change",
		})
	}
}

// applyDocument puts one document into the map, or deletes it if the body is
// empty. It does nothing if the map has the document at this revision or later.
func applyDocument[T any](byName map[string]versionedDocument[T], name string, body []byte, revision uint64) error {
	if byName[name].revision >= revision {
		return nil
	}
	if len(body) == 0 {
		delete(byName, name)
		return nil
	}
	var document T
	if err := json.Unmarshal(body, &document); err != nil {
		return unreadableDocument(name, err)
	}
	byName[name] = versionedDocument[T]{document: document, revision: revision}
	return nil
}

func unreadableDocument(name string, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.Internal,
		Message: "document " + name + " cannot be decoded",
		Remedy:  "upgrade this router to the version that published the change",
		Cause:   cause,
	})
}

// rebuildIndexes rebuilds the indexes of the changed kinds.
func (view *View) rebuildIndexes(changedKinds map[Kind]bool) {
	if changedKinds[KindUpstream] {
		view.upstreamsByService = make(map[string][]Upstream)
		for _, name := range slices.Sorted(maps.Keys(view.upstreams)) {
			upstream := view.upstreams[name].document
			view.upstreamsByService[upstream.Service] = append(view.upstreamsByService[upstream.Service], upstream)
		}
	}
	if changedKinds[KindService] {
		view.serviceNameByModel = make(map[string]string)
		for name, service := range view.services {
			if service.document.Model != "" {
				view.serviceNameByModel[service.document.Model] = name
			}
		}
	}
	if changedKinds[KindCaller] {
		view.callerNameByTokenHash = make(map[string]string)
		for name, caller := range view.callers {
			view.callerNameByTokenHash[strings.ToLower(caller.document.TokenHash)] = name
		}
	}
}
