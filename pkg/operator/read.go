package operator

import (
	"context"
	"encoding/json"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

// readError explains a table that does not answer. A read changes nothing, so it
// leaves nothing unknown.
func readError(err error) error {
	if !fault.Is(err, fault.Unavailable) {
		return err
	}
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "the platform's table does not answer",
		Remedy:  "ask again when it does; `wisterialb config status` needs no table",
		Cause:   err,
	})
}

// headTimeout bounds how long GetStatus waits for the table. Without its answer
// the newest revision is the one that the routers know.
const headTimeout = time.Second

// GetStatus tells which revision each live router is on.
func (server *Server) GetStatus(ctx context.Context, _ *operatorpb.GetStatusRequest) (*operatorpb.GetStatusResponse, error) {
	revision := server.newestRevision(ctx)
	return &operatorpb.GetStatusResponse{
		Router:   server.config.Incarnation,
		Revision: revision,
		Members:  convert(server.statusMembers(ctx, revision), memberMessage),
	}, nil
}

// statusMembers asks the routers for their revisions if it can.
func (server *Server) statusMembers(ctx context.Context, revision uint64) []Member {
	if server.config.Adopter == nil {
		return server.members(revision)
	}
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	members := server.askMembers(ctx, 0, nil)
	for i, member := range members {
		if member.Reason == "" {
			members[i].Reason = lagReason(member, revision)
		}
	}
	return members
}

func (server *Server) newestRevision(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	revision := server.config.Follower.Revision()
	for _, member := range server.config.Members() {
		revision = max(revision, member.Revision)
	}
	if head, err := server.config.Publisher.Head(ctx); err == nil {
		revision = max(revision, head)
	}
	return revision
}

// ListDocuments returns a page of documents of one kind.
func (server *Server) ListDocuments(ctx context.Context, request *operatorpb.ListDocumentsRequest) (*operatorpb.ListDocumentsResponse, error) {
	kind := configuration.Kind(request.GetKind())
	if !isDocumentKind(kind) {
		return nil, unknownKind(kind)
	}
	documents, next, err := server.config.Publisher.Documents(ctx, kind, request.GetAfter(), pageSize(request.GetLimit()))
	if err != nil {
		return nil, readError(err)
	}
	return &operatorpb.ListDocumentsResponse{Documents: convert(documents, documentMessage), Next: next}, nil
}

// GetDocument returns one document.
func (server *Server) GetDocument(ctx context.Context, request *operatorpb.GetDocumentRequest) (*operatorpb.GetDocumentResponse, error) {
	kind := configuration.Kind(request.GetKind())
	if !isDocumentKind(kind) {
		return nil, unknownKind(kind)
	}
	document, err := server.config.Publisher.Document(ctx, kind, request.GetName())
	if err != nil {
		return nil, readError(err)
	}
	return &operatorpb.GetDocumentResponse{Document: documentMessage(document)}, nil
}

// GetBudget returns the statement of a budget.
func (server *Server) GetBudget(ctx context.Context, request *operatorpb.GetBudgetRequest) (*operatorpb.GetBudgetResponse, error) {
	statement, err := server.config.Ledger.Statement(ctx, request.GetProfile())
	if err != nil {
		return nil, readError(err)
	}
	return statementMessage(statement), nil
}

// ListBills returns a page of ledger lines.
func (server *Server) ListBills(ctx context.Context, request *operatorpb.ListBillsRequest) (*operatorpb.ListBillsResponse, error) {
	lines, next, err := server.config.Ledger.Lines(ctx, request.GetProfile(), request.GetAfter(), pageSize(request.GetLimit()))
	if err != nil {
		return nil, readError(err)
	}
	return &operatorpb.ListBillsResponse{Lines: convert(lines, lineMessage), Next: next}, nil
}

// ListAudit returns a page of accepted changes.
func (server *Server) ListAudit(ctx context.Context, request *operatorpb.ListAuditRequest) (*operatorpb.ListAuditResponse, error) {
	size := pageSize(request.GetLimit())
	records, err := server.config.Publisher.Audit(ctx, request.GetAfter(), size)
	if err != nil {
		return nil, readError(err)
	}
	response := &operatorpb.ListAuditResponse{Records: convert(records, recordMessage)}
	if len(records) == size {
		response.Next = records[size-1].Revision
	}
	return response, nil
}

// ListUpstreamStates sets what upstreams should have loaded beside what they have.
func (server *Server) ListUpstreamStates(ctx context.Context, _ *operatorpb.ListUpstreamStatesRequest) (*operatorpb.ListUpstreamStatesResponse, error) {
	states, err := server.upstreamStates(ctx)
	if err != nil {
		return nil, readError(err)
	}
	return &operatorpb.ListUpstreamStatesResponse{States: convert(states, stateMessage)}, nil
}

func (server *Server) upstreamStates(ctx context.Context) ([]UpstreamState, error) {
	if server.config.UpstreamStates != nil {
		return server.config.UpstreamStates.States(ctx)
	}
	var states []UpstreamState
	after := ""
	for {
		documents, next, err := server.config.Publisher.Documents(ctx, configuration.KindUpstream, after, maxPageSize)
		if err != nil {
			return nil, err
		}
		for _, document := range documents {
			state, err := wantedState(document)
			if err != nil {
				return nil, err
			}
			states = append(states, state)
		}
		if next == "" {
			return states, nil
		}
		after = next
	}
}

// wantedState returns the state of an upstream that nobody observes.
func wantedState(document configuration.StoredDocument) (UpstreamState, error) {
	var upstream configuration.Upstream
	if err := json.Unmarshal(document.Body, &upstream); err != nil {
		return UpstreamState{}, err
	}
	return UpstreamState{
		Name:    upstream.Name,
		Service: upstream.Service,
		Wanted:  LoadedModel{Model: upstream.Model, Adapter: upstream.Adapter, Version: upstream.Version, Role: upstream.Role},
		Reason:  "this router does not order models",
	}, nil
}
