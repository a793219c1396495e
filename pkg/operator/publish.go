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

// propagationPoll is the time between two looks at the routers' revisions.
const propagationPoll = 20 * time.Millisecond

// Publish puts or deletes one document and waits for the live routers.
func (server *Server) Publish(ctx context.Context, request *operatorpb.PublishRequest) (*operatorpb.PublishResponse, error) {
	kind := configuration.Kind(request.GetKind())
	if !isDocumentKind(kind) {
		return nil, unknownKind(kind)
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

// ChangeLimit raises or lowers the limit of a profile.
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

// publish makes the change in the name of the operator who asked for it.
func (server *Server) publish(ctx context.Context, change configuration.Change) (*operatorpb.PublishResponse, error) {
	if err := checkChange(change); err != nil {
		return nil, err
	}
	change.Operator = operatorOf(ctx)
	record, err := server.config.Publisher.Publish(ctx, change)
	if err != nil {
		return nil, err
	}
	_ = level.Info(server.config.Logger).Log("msg", "configuration changed", "revision", record.Revision,
		"kind", change.Kind, "name", change.Name, "operator", change.Operator, "operation_id", change.OperationID)
	server.config.Follower.Offer(ctx, []configuration.Record{record})
	server.config.Follower.Hint(record.Revision)
	publication := server.awaitRouters(ctx, record)
	return publicationMessage(publication), nil
}

func checkChange(change configuration.Change) error {
	switch {
	case change.OperationID == "":
		return missing("operation id", "send a unique operation id, the same one for each retry")
	case change.Name == "":
		return missing("name", "name the document to change")
	case change.Reason == "":
		return missing("reason", "say why, for the audit trail")
	default:
		return nil
	}
}

func missing(what, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Invalid, Message: "the " + what + " is missing", Remedy: remedy})
}

// documentKinds are the kinds that Publish takes, List and Get return.
var documentKinds = []configuration.Kind{
	configuration.KindProfile,
	configuration.KindUpstream,
	configuration.KindService,
	configuration.KindCaller,
}

func isDocumentKind(kind configuration.Kind) bool {
	for _, known := range documentKinds {
		if kind == known {
			return true
		}
	}
	return false
}

func unknownKind(kind configuration.Kind) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("%q is no kind of document", kind),
		Remedy:  fmt.Sprintf("name one of %v", documentKinds),
	})
}

// awaitRouters waits until every live router is on the revision, or until the
// bound or the context ends.
func (server *Server) awaitRouters(ctx context.Context, record configuration.Record) Publication {
	ctx, cancel := context.WithTimeout(ctx, server.config.PropagationTimeout)
	defer cancel()
	revision := record.Revision
	if server.config.Adopter != nil {
		return publicationFrom(revision, server.askMembers(ctx, revision, []configuration.Record{record}))
	}
	ticker := time.NewTicker(propagationPoll)
	defer ticker.Stop()
	for {
		publication := server.publicationOf(revision)
		if len(publication.LaggingRouters) == 0 {
			return publication
		}
		select {
		case <-ctx.Done():
			return server.publicationOf(revision)
		case <-ticker.C:
		}
	}
}

// publicationOf tells which members are known to be on the revision.
func (server *Server) publicationOf(revision uint64) Publication {
	return publicationFrom(revision, server.members(revision))
}

func publicationFrom(revision uint64, members []Member) Publication {
	publication := Publication{Revision: revision}
	for _, member := range members {
		publication.RouterCount++
		if member.Reason != "" {
			publication.LaggingRouters = append(publication.LaggingRouters, member)
		}
	}
	return publication
}

// members returns the members, each with the reason why it is not on the
// revision. This router's own revision is read where it is adopted.
func (server *Server) members(revision uint64) []Member {
	known := server.config.Members()
	members := make([]Member, 0, len(known))
	for _, reported := range known {
		member := memberFrom(reported)
		if member.Incarnation == server.config.Incarnation {
			member.Revision = server.config.Follower.Revision()
		}
		member.Reason = lagReason(member, revision)
		members = append(members, member)
	}
	return members
}

func memberFrom(member fleet.Member) Member {
	return Member{
		Incarnation:     member.Incarnation,
		Zone:            member.Zone,
		State:           member.State,
		Revision:        member.Revision,
		CallerAddress:   member.CallerAddress,
		PeerAddress:     member.PeerAddress,
		OperatorAddress: member.OperatorAddress,
		Load:            member.Load,
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
