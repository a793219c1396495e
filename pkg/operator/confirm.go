package operator

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
)

// confirmRevision sends the records to the other reachable routers and waits for
// them to adopt the revision. It returns all members with their revisions after
// the wait and, where a member is behind, the reason. Without records and with
// revision 0 it only reads the revisions.
func (server *Server) confirmRevision(ctx context.Context, revision uint64, records []configuration.Record) []Member {
	members := server.membersWithLagReason(revision)
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
		if adoption, confirmed := adoptions[member.Incarnation]; confirmed {
			members[i].Reason = adoption.Reason
			members[i].Revision = max(adoption.Revision, member.Revision)
		}
	}
	return members
}
