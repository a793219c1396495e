package operator

import (
	"context"
	"encoding/json"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

// readError returns err unless it is fault.Unavailable: the table in the platform's
// store doesn't respond. That is replaced by a fault with the outcome not_run,
// because a read changes nothing.
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

// statusTimeout bounds how long GetStatus waits for the configuration table, and
// again how long it then waits for the other routers. If the table doesn't
// respond, the newest revision is the highest that a router reports.
const statusTimeout = time.Second

// GetStatus returns the configuration revision of each router.
func (server *Server) GetStatus(ctx context.Context, _ *operatorpb.GetStatusRequest) (*operatorpb.GetStatusResponse, error) {
	revision := server.newestRevision(ctx)
	return &operatorpb.GetStatusResponse{
		Router:   server.config.Incarnation,
		Revision: revision,
		Members:  convertAll(server.membersForStatus(ctx, revision), memberToMessage),
	}, nil
}

// membersForStatus reads the revisions from the routers themselves if an Adopter
// is configured, and otherwise from the membership.
func (server *Server) membersForStatus(ctx context.Context, revision uint64) []Member {
	if server.config.Adopter == nil {
		return server.membersWithLagReason(revision)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	members := server.confirmRevision(ctx, 0, nil)
	for i, member := range members {
		if member.Reason == "" {
			members[i].Reason = lagReason(member, revision)
		}
	}
	return members
}

func (server *Server) newestRevision(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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
		return nil, unknownKindError(kind)
	}
	documents, next, err := server.config.Publisher.Documents(ctx, kind, request.GetAfter(), pageSize(request.GetLimit()))
	if err != nil {
		return nil, readError(err)
	}
	return &operatorpb.ListDocumentsResponse{Documents: convertAll(documents, documentToMessage), Next: next}, nil
}

// GetDocument returns one document.
func (server *Server) GetDocument(ctx context.Context, request *operatorpb.GetDocumentRequest) (*operatorpb.GetDocumentResponse, error) {
	kind := configuration.Kind(request.GetKind())
	if !isDocumentKind(kind) {
		return nil, unknownKindError(kind)
	}
	document, err := server.config.Publisher.Document(ctx, kind, request.GetName())
	if err != nil {
		return nil, readError(err)
	}
	return &operatorpb.GetDocumentResponse{Document: documentToMessage(document)}, nil
}

// GetBudget returns the budget statement of a profile.
func (server *Server) GetBudget(ctx context.Context, request *operatorpb.GetBudgetRequest) (*operatorpb.GetBudgetResponse, error) {
	statement, err := server.config.Ledger.Statement(ctx, request.GetProfile())
	if err != nil {
		return nil, readError(err)
	}
	return statementToMessage(statement), nil
}

// ListBills returns a page of a profile's ledger lines.
func (server *Server) ListBills(ctx context.Context, request *operatorpb.ListBillsRequest) (*operatorpb.ListBillsResponse, error) {
	lines, next, err := server.config.Ledger.Lines(ctx, request.GetProfile(), request.GetAfter(), pageSize(request.GetLimit()))
	if err != nil {
		return nil, readError(err)
	}
	return &operatorpb.ListBillsResponse{Lines: convertAll(lines, lineToMessage), Next: next}, nil
}

// ListAudit returns a page of the accepted changes.
func (server *Server) ListAudit(ctx context.Context, request *operatorpb.ListAuditRequest) (*operatorpb.ListAuditResponse, error) {
	limit := pageSize(request.GetLimit())
	records, err := server.config.Publisher.Audit(ctx, request.GetAfter(), limit)
	if err != nil {
		return nil, readError(err)
	}
	response := &operatorpb.ListAuditResponse{Records: convertAll(records, recordToMessage)}
	if len(records) == limit {
		response.Next = records[limit-1].Revision
	}
	return response, nil
}

// ListUpstreamStates returns the wanted and the actual model of each upstream.
func (server *Server) ListUpstreamStates(ctx context.Context, _ *operatorpb.ListUpstreamStatesRequest) (*operatorpb.ListUpstreamStatesResponse, error) {
	states, err := server.upstreamStates(ctx)
	if err != nil {
		return nil, readError(err)
	}
	return &operatorpb.ListUpstreamStatesResponse{States: convertAll(states, upstreamStateToMessage)}, nil
}

// upstreamStates returns the observed states, or only the wanted ones if this
// router doesn't observe upstreams.
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
			state, err := stateWithoutActual(document)
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

// stateWithoutActual returns the state of an upstream whose loaded model isn't
// observed.
func stateWithoutActual(document configuration.StoredDocument) (UpstreamState, error) {
	var upstream configuration.Upstream
	if err := json.Unmarshal(document.Body, &upstream); err != nil {
		return UpstreamState{}, err
	}
	return UpstreamState{
		Name:    upstream.Name,
		Service: upstream.Service,
		Wanted:  LoadedModel{Model: upstream.Model, Adapter: upstream.Adapter, Version: upstream.Version, Role: upstream.Role},
		Reason:  "this router does not manage the models of upstreams",
	}, nil
}
