package operator

import (
	"context"
	"fmt"

	"encoding/json"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

// GetStatus tells which revision each live router is on.
func (server *Server) GetStatus(context.Context, *operatorpb.GetStatusRequest) (*operatorpb.GetStatusResponse, error) {
	revision := server.config.Documents.Revision()
	for _, member := range server.config.Members() {
		revision = max(revision, member.Revision)
	}
	response := &operatorpb.GetStatusResponse{Router: server.config.Self, Revision: revision}
	for _, member := range server.members(revision) {
		response.Members = append(response.Members, memberMessage(member))
	}
	return response, nil
}

// ListDocuments returns a page of documents of one kind.
func (server *Server) ListDocuments(_ context.Context, request *operatorpb.ListDocumentsRequest) (*operatorpb.ListDocumentsResponse, error) {
	kind := configuration.Kind(request.GetKind())
	if !isDocumentKind(kind) {
		return nil, unknownKind(kind)
	}
	if err := server.checkReady(); err != nil {
		return nil, err
	}
	response := &operatorpb.ListDocumentsResponse{}
	size := pageSize(request.GetLimit())
	for _, document := range server.config.Documents.List(kind) {
		if document.Name <= request.GetAfter() {
			continue
		}
		if len(response.Documents) == size {
			response.Next = response.Documents[size-1].Name
			break
		}
		response.Documents = append(response.Documents, documentMessage(document))
	}
	return response, nil
}

// GetDocument returns one document.
func (server *Server) GetDocument(_ context.Context, request *operatorpb.GetDocumentRequest) (*operatorpb.GetDocumentResponse, error) {
	kind := configuration.Kind(request.GetKind())
	if !isDocumentKind(kind) {
		return nil, unknownKind(kind)
	}
	if err := server.checkReady(); err != nil {
		return nil, err
	}
	document, ok := server.config.Documents.Get(kind, request.GetName())
	if !ok {
		return nil, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: fmt.Sprintf("there is no %s %q", kind, request.GetName()),
			Remedy:  fmt.Sprintf("see `wisterialb %s list`, or publish it", kind),
		})
	}
	return &operatorpb.GetDocumentResponse{Document: documentMessage(document)}, nil
}

func (server *Server) checkReady() error {
	if server.config.Documents.Ready() {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "this router has no confirmed configuration yet",
		Remedy:  "ask another router, or again once the platform's table can be reached",
	})
}

// GetBudget returns the statement of a budget.
func (server *Server) GetBudget(ctx context.Context, request *operatorpb.GetBudgetRequest) (*operatorpb.GetBudgetResponse, error) {
	statement, err := server.config.Ledger.Statement(ctx, request.GetProfile())
	if err != nil {
		return nil, err
	}
	return statementMessage(statement), nil
}

// ListBills returns a page of ledger lines.
func (server *Server) ListBills(ctx context.Context, request *operatorpb.ListBillsRequest) (*operatorpb.ListBillsResponse, error) {
	lines, next, err := server.config.Ledger.Lines(ctx, request.GetProfile(), request.GetAfter(), pageSize(request.GetLimit()))
	if err != nil {
		return nil, err
	}
	response := &operatorpb.ListBillsResponse{Next: next}
	for _, line := range lines {
		response.Lines = append(response.Lines, lineMessage(line))
	}
	return response, nil
}

// ListAudit returns a page of accepted changes.
func (server *Server) ListAudit(ctx context.Context, request *operatorpb.ListAuditRequest) (*operatorpb.ListAuditResponse, error) {
	size := pageSize(request.GetLimit())
	records, err := server.config.Publisher.Audit(ctx, request.GetAfter(), size)
	if err != nil {
		return nil, err
	}
	response := &operatorpb.ListAuditResponse{}
	for _, record := range records {
		response.Records = append(response.Records, recordMessage(record))
	}
	if len(records) == size {
		response.Next = records[size-1].Revision
	}
	return response, nil
}

// ListUpstreamStates sets what upstreams should have loaded beside what they have.
func (server *Server) ListUpstreamStates(ctx context.Context, _ *operatorpb.ListUpstreamStatesRequest) (*operatorpb.ListUpstreamStatesResponse, error) {
	states, err := server.upstreamStates(ctx)
	if err != nil {
		return nil, err
	}
	response := &operatorpb.ListUpstreamStatesResponse{}
	for _, state := range states {
		response.States = append(response.States, stateMessage(state))
	}
	return response, nil
}

func (server *Server) upstreamStates(ctx context.Context) ([]UpstreamState, error) {
	if server.config.UpstreamStates != nil {
		return server.config.UpstreamStates.States(ctx)
	}
	var states []UpstreamState
	for _, document := range server.config.Documents.List(configuration.KindUpstream) {
		var upstream configuration.Upstream
		if err := json.Unmarshal(document.Body, &upstream); err != nil {
			return nil, err
		}
		states = append(states, UpstreamState{
			Name:    upstream.Name,
			Service: upstream.Service,
			Wanted:  LoadedModel{Model: upstream.Model, Adapter: upstream.Adapter, Version: upstream.Version, Role: upstream.Role},
			Reason:  "this router does not order models",
		})
	}
	return states, nil
}
