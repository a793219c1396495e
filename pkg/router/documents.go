package router

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// documents shows the adopted configuration to operators.
type documents struct {
	follower *configuration.Follower
}

// Ready reports whether there is a confirmed configuration.
func (documents documents) Ready() bool {
	return documents.follower.Ready()
}

// Revision returns the adopted revision.
func (documents documents) Revision() uint64 {
	return documents.follower.Revision()
}

// List returns the documents of the kind in the order of their names.
func (documents documents) List(kind configuration.Kind) []operator.Document {
	view := documents.follower.View()
	shown := documentsOf(view, kind)
	slices.SortFunc(shown, func(a, b operator.Document) int { return cmp.Compare(a.Name, b.Name) })
	return shown
}

// Get returns one document.
func (documents documents) Get(kind configuration.Kind, name string) (operator.Document, bool) {
	if kind == configuration.KindProfile {
		profile, err := documents.follower.Profile(context.Background(), name)
		if err != nil {
			return operator.Document{}, false
		}
		return documentOf(documents.follower.View(), kind, name, profile), true
	}
	for _, document := range documents.List(kind) {
		if document.Name == name {
			return document, true
		}
	}
	return operator.Document{}, false
}

func documentsOf(view *configuration.View, kind configuration.Kind) []operator.Document {
	switch kind {
	case configuration.KindProfile:
		return convert(view, kind, view.Profiles(), func(profile configuration.Profile) string { return profile.Name })
	case configuration.KindService:
		return convert(view, kind, view.Services(), func(service configuration.Service) string { return service.Name })
	case configuration.KindUpstream:
		return convert(view, kind, view.AllUpstreams(), func(upstream configuration.Upstream) string { return upstream.Name })
	case configuration.KindCaller:
		return convert(view, kind, view.Callers(), func(caller configuration.Caller) string { return caller.Name })
	default:
		return nil
	}
}

func convert[Body any](view *configuration.View, kind configuration.Kind, bodies []Body, nameOf func(Body) string) []operator.Document {
	shown := make([]operator.Document, 0, len(bodies))
	for _, body := range bodies {
		shown = append(shown, documentOf(view, kind, nameOf(body), body))
	}
	return shown
}

func documentOf(view *configuration.View, kind configuration.Kind, name string, body any) operator.Document {
	encoded, _ := json.Marshal(body)
	return operator.Document{
		Kind:     kind,
		Name:     name,
		Revision: view.DocumentRevision(kind, name),
		Body:     encoded,
	}
}
