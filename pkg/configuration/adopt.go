package configuration

// The flow of adopting changes: Follower collects records; view.with copies
// only the families that the records touch, applies each record that is newer
// than the document held, and builds the lookups anew for those families.

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// with returns the view after the records, which follow its revision without a
// gap. The old view is unchanged.
func (view *View) with(records []Record) (*View, error) {
	next := *view
	touched := make(map[Kind]bool)
	for _, record := range records {
		if !touched[record.Change.Kind] {
			touched[record.Change.Kind] = true
			next.copyFamily(record.Change.Kind)
		}
		if err := next.apply(record); err != nil {
			return nil, err
		}
		next.revision = record.Revision
	}
	next.index(touched)
	return &next, nil
}

func (view *View) copyFamily(kind Kind) {
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

// apply changes a view that nobody else sees yet.
func (view *View) apply(record Record) error {
	name := record.Change.Name
	body := record.Change.Body
	switch record.Change.Kind {
	case KindService:
		return applyTo(view.services, name, body, record.Revision)
	case KindUpstream:
		return applyTo(view.upstreams, name, body, record.Revision)
	case KindCaller:
		return applyTo(view.callers, name, body, record.Revision)
	case KindProfile:
		return view.profiles.apply(name, body, record.Revision)
	case KindLimit:
		return nil
	default:
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "record of unknown kind " + string(record.Change.Kind),
			Remedy:  "replace this router by one of the version that published the change",
		})
	}
}

// applyTo puts or deletes one document unless a newer one is held.
func applyTo[T any](family map[string]held[T], name string, body []byte, revision uint64) error {
	if family[name].revision >= revision {
		return nil
	}
	if len(body) == 0 {
		delete(family, name)
		return nil
	}
	var document T
	if err := json.Unmarshal(body, &document); err != nil {
		return unreadableDocument(name, err)
	}
	family[name] = held[T]{document: document, revision: revision}
	return nil
}

func unreadableDocument(name string, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.Internal,
		Message: "document " + name + " is not readable",
		Remedy:  "replace this router by one of the version that published the change",
		Cause:   cause,
	})
}

// index builds the lookups of the touched families anew.
func (view *View) index(touched map[Kind]bool) {
	if touched[KindUpstream] {
		view.byService = make(map[string][]Upstream)
		for _, name := range slices.Sorted(maps.Keys(view.upstreams)) {
			upstream := view.upstreams[name].document
			view.byService[upstream.Service] = append(view.byService[upstream.Service], upstream)
		}
	}
	if touched[KindService] {
		view.byModel = make(map[string]string)
		for name, service := range view.services {
			if service.document.Model != "" {
				view.byModel[service.document.Model] = name
			}
		}
	}
	if touched[KindCaller] {
		view.byToken = make(map[string]string)
		for name, caller := range view.callers {
			view.byToken[strings.ToLower(caller.document.TokenHash)] = name
		}
	}
}
