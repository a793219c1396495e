package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

// propagationPollInterval is the time between two reads of the revisions that
// the members report.
const propagationPollInterval = 20 * time.Millisecond

// Publish creates, replaces or deletes one document and waits for the live
// routers to adopt the change.
func (server *Server) Publish(ctx context.Context, request *operatorpb.PublishRequest) (*operatorpb.PublishResponse, error) {
	kind := configuration.Kind(request.GetKind())
	if !isDocumentKind(kind) {
		return nil, unknownKindError(kind)
	}
	return server.publish(ctx, configuration.Change{
		OperationID:      request.GetOperationId(),
		Reason:           request.GetReason(),
		Kind:             kind,
		Name:             request.GetName(),
		ExpectedRevision: request.GetExpected(),
		Body:             request.GetBody(),
	})
}

// ChangeLimit raises or lowers the limit of a profile and waits for the live
// routers to adopt the change.
func (server *Server) ChangeLimit(ctx context.Context, request *operatorpb.ChangeLimitRequest) (*operatorpb.PublishResponse, error) {
	body, err := json.Marshal(configuration.Limit{AddTokens: request.GetAddTokens()})
	if err != nil {
		return nil, err
	}
	return server.publish(ctx, configuration.Change{
		OperationID: request.GetOperationId(),
		Reason:      request.GetReason(),
		Kind:        configuration.KindLimit,
		Name:        request.GetProfile(),
		Body:        body,
	})
}

// publish applies the change, recorded under the authenticated operator's name.
func (server *Server) publish(ctx context.Context, change configuration.Change) (*operatorpb.PublishResponse, error) {
	if err := checkChange(change); err != nil {
		return nil, err
	}
	change.Operator = operatorFromContext(ctx)
	record, err := server.config.Publisher.Publish(ctx, change)
	if err != nil {
		return nil, err
	}
	_ = level.Info(server.config.Logger).Log("msg", "configuration changed", "revision", record.Revision,
		"kind", change.Kind, "name", change.Name, "operator", change.Operator, "operation_id", change.OperationID)
	server.config.Follower.Offer(ctx, []configuration.Record{record})
	server.config.Follower.Hint(record.Revision)
	publication := server.awaitPropagation(ctx, record)
	return publicationToMessage(publication), nil
}

func checkChange(change configuration.Change) error {
	switch {
	case change.OperationID == "":
		return missingFieldError("operation id", "send a unique operation id and reuse it for each retry")
	case change.Name == "":
		return missingFieldError("name", "set the name of the document to change")
	case change.Reason == "":
		return missingFieldError("reason", "give the reason for the change; it is kept in the audit trail")
	default:
		return nil
	}
}

func missingFieldError(field, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Invalid, Message: "the " + field + " is missing", Remedy: remedy})
}

// documentKinds are the kinds that Publish, ListDocuments and GetDocument accept.
var documentKinds = []configuration.Kind{
	configuration.KindProfile,
	configuration.KindUpstream,
	configuration.KindService,
	configuration.KindCaller,
}

func isDocumentKind(kind configuration.Kind) bool {
	for _, documentKind := range documentKinds {
		if kind == documentKind {
			return true
		}
	}
	return false
}

func unknownKindError(kind configuration.Kind) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("%q is not a document kind", kind),
		Remedy:  fmt.Sprintf("use one of %v", documentKinds),
	})
}

// awaitPropagation waits until every member is on the record's revision, until
// the propagation timeout, or until the context ends. Members that are still
// behind are listed as lagging.
func (server *Server) awaitPropagation(ctx context.Context, record configuration.Record) Publication {
	ctx, cancel := context.WithTimeout(ctx, server.config.PropagationTimeout)
	defer cancel()
	revision := record.Revision
	if server.config.Adopter != nil {
		return newPublication(revision, server.confirmRevision(ctx, revision, []configuration.Record{record}))
	}
	ticker := time.NewTicker(propagationPollInterval)
	defer ticker.Stop()
	for {
		publication := server.currentPublication(revision)
		if len(publication.LaggingRouters) == 0 {
			return publication
		}
		select {
		case <-ctx.Done():
			return server.currentPublication(revision)
		case <-ticker.C:
		}
	}
}

// currentPublication compares the members' reported revisions with the revision.
func (server *Server) currentPublication(revision uint64) Publication {
	return newPublication(revision, server.membersWithLagReason(revision))
}

func newPublication(revision uint64, members []Member) Publication {
	publication := Publication{Revision: revision}
	for _, member := range members {
		publication.RouterCount++
		if member.Reason != "" {
			publication.LaggingRouters = append(publication.LaggingRouters, member)
		}
	}
	return publication
}

// membersWithLagReason returns the members, each with the reason if it is behind
// the revision. This router's own revision is read from its follower, because
// its membership entry may be older.
func (server *Server) membersWithLagReason(revision uint64) []Member {
	fleetMembers := server.config.Members()
	members := make([]Member, 0, len(fleetMembers))
	for _, fleetMember := range fleetMembers {
		member := newMember(fleetMember)
		if member.Incarnation == server.config.Incarnation {
			member.Revision = server.config.Follower.Revision()
		}
		member.Reason = lagReason(member, revision)
		members = append(members, member)
	}
	return members
}

func newMember(fleetMember fleet.Member) Member {
	return Member{
		Incarnation:     fleetMember.Incarnation,
		Zone:            fleetMember.Zone,
		State:           fleetMember.State,
		Revision:        fleetMember.Revision,
		CallerAddress:   fleetMember.CallerAddress,
		PeerAddress:     fleetMember.PeerAddress,
		OperatorAddress: fleetMember.OperatorAddress,
		Load:            fleetMember.Load,
	}
}

func lagReason(member Member, revision uint64) string {
	switch {
	case member.Revision >= revision:
		return ""
	case member.State != fleet.Live:
		return fmt.Sprintf("it is %s; last known on revision %d", member.State, member.Revision)
	default:
		return fmt.Sprintf("it still reports revision %d", member.Revision)
	}
}
