package operator

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
)

// askMembers passes records to the other routers that are expected to answer,
// waits for them to have the revision, and returns all members as they are
// then, each with the reason why it is not on the revision.
func (server *Server) askMembers(ctx context.Context, revision uint64, records []configuration.Record) []Member {
	members := server.members(revision)
	var targets []configuration.ConfirmTarget
	for _, member := range server.config.Members() {
		if member.Incarnation != server.config.Incarnation && member.IsReachable() {
			targets = append(targets, configuration.ConfirmTarget{Incarnation: member.Incarnation, Address: member.PeerAddress})
		}
	}
	adoptions := make(map[string]configuration.Adoption)
	for _, adoption := range configuration.Confirm(ctx, configuration.ConfirmConfig{
		Adopter:  server.config.Adopter,
		Targets:  targets,
		Records:  records,
		Revision: revision,
	}) {
		adoptions[adoption.Incarnation] = adoption
	}
	for i, member := range members {
		if adoption, asked := adoptions[member.Incarnation]; asked {
			members[i].Reason = adoption.Reason
			members[i].Revision = max(adoption.Revision, member.Revision)
		}
	}
	return members
}
