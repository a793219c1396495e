package operator

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

// convert applies the function to each entry; the result is never nil, so that
// an empty list is [] in JSON.
func convert[From, To any](entries []From, function func(From) To) []To {
	converted := make([]To, 0, len(entries))
	for _, entry := range entries {
		converted = append(converted, function(entry))
	}
	return converted
}

func memberMessage(member Member) *operatorpb.Member {
	return &operatorpb.Member{
		Incarnation:     member.Incarnation,
		Zone:            member.Zone,
		State:           string(member.State),
		Revision:        member.Revision,
		CallerAddress:   member.CallerAddress,
		PeerAddress:     member.PeerAddress,
		OperatorAddress: member.OperatorAddress,
		Reason:          member.Reason,
		Load:            member.Load,
	}
}

func memberOf(message *operatorpb.Member) Member {
	return Member{
		Incarnation:     message.GetIncarnation(),
		Zone:            message.GetZone(),
		State:           fleet.State(message.GetState()),
		Revision:        message.GetRevision(),
		CallerAddress:   message.GetCallerAddress(),
		PeerAddress:     message.GetPeerAddress(),
		OperatorAddress: message.GetOperatorAddress(),
		Reason:          message.GetReason(),
		Load:            message.GetLoad(),
	}
}

func statusOf(message *operatorpb.GetStatusResponse) Status {
	return Status{
		RespondingRouter: message.GetRouter(),
		NewestRevision:   message.GetRevision(),
		Members:          convert(message.GetMembers(), memberOf),
	}
}

func publicationMessage(publication Publication) *operatorpb.PublishResponse {
	return &operatorpb.PublishResponse{
		Revision: publication.Revision,
		Routers:  int32(publication.RouterCount),
		Lagging:  convert(publication.LaggingRouters, laggingMessage),
	}
}

func laggingMessage(member Member) *operatorpb.Lagging {
	return &operatorpb.Lagging{
		Incarnation: member.Incarnation,
		Zone:        member.Zone,
		Revision:    member.Revision,
		Reason:      member.Reason,
	}
}

func publicationOf(message *operatorpb.PublishResponse) Publication {
	return Publication{
		Revision:    message.GetRevision(),
		RouterCount: int(message.GetRouters()),
		LaggingRouters: convert(message.GetLagging(), func(lagging *operatorpb.Lagging) Member {
			return Member{
				Incarnation: lagging.GetIncarnation(),
				Zone:        lagging.GetZone(),
				Revision:    lagging.GetRevision(),
				Reason:      lagging.GetReason(),
			}
		}),
	}
}

func documentMessage(document configuration.StoredDocument) *operatorpb.Document {
	return &operatorpb.Document{
		Kind:     string(document.Kind),
		Name:     document.Name,
		Revision: document.Revision,
		Body:     document.Body,
	}
}

func documentOf(message *operatorpb.Document) configuration.StoredDocument {
	return configuration.StoredDocument{
		Kind:     configuration.Kind(message.GetKind()),
		Name:     message.GetName(),
		Revision: message.GetRevision(),
		Body:     message.GetBody(),
	}
}

func statementMessage(statement budget.Statement) *operatorpb.GetBudgetResponse {
	return &operatorpb.GetBudgetResponse{
		Profile:            statement.Profile,
		LimitTokens:        statement.LimitTokens,
		FreeTokens:         statement.FreeTokens,
		SettledTokens:      statement.SettledTokens,
		BillTokens:         statement.BillTokens,
		WasteTokens:        statement.WasteTokens,
		UnattributedTokens: statement.UnattributedTokens,
		Holders: convert(statement.Holders, func(holder budget.Holder) *operatorpb.Holder {
			return &operatorpb.Holder{
				Incarnation:   holder.Incarnation,
				GrantedTokens: holder.GrantedTokens,
				SettledTokens: holder.SettledTokens,
			}
		}),
	}
}

func statementOf(message *operatorpb.GetBudgetResponse) budget.Statement {
	return budget.Statement{
		Profile:            message.GetProfile(),
		LimitTokens:        message.GetLimitTokens(),
		FreeTokens:         message.GetFreeTokens(),
		SettledTokens:      message.GetSettledTokens(),
		BillTokens:         message.GetBillTokens(),
		WasteTokens:        message.GetWasteTokens(),
		UnattributedTokens: message.GetUnattributedTokens(),
		Holders: convert(message.GetHolders(), func(holder *operatorpb.Holder) budget.Holder {
			return budget.Holder{
				Incarnation:   holder.GetIncarnation(),
				GrantedTokens: holder.GetGrantedTokens(),
				SettledTokens: holder.GetSettledTokens(),
			}
		}),
	}
}

func lineMessage(line budget.Line) *operatorpb.Line {
	return &operatorpb.Line{
		Kind:             string(line.Kind),
		Profile:          line.Profile,
		RequestId:        line.RequestID,
		Caller:           line.Caller,
		Team:             line.Team,
		Service:          line.Service,
		Attempt:          line.Attempt,
		PromptTokens:     line.PromptTokens,
		CompletionTokens: line.CompletionTokens,
		Tokens:           line.Tokens,
		Estimated:        line.Estimated,
		Router:           line.Router,
		AtMs:             line.At.UnixMilli(),
	}
}

func lineOf(message *operatorpb.Line) budget.Line {
	return budget.Line{
		Kind:             budget.LineKind(message.GetKind()),
		Profile:          message.GetProfile(),
		RequestID:        message.GetRequestId(),
		Caller:           message.GetCaller(),
		Team:             message.GetTeam(),
		Service:          message.GetService(),
		Attempt:          message.GetAttempt(),
		PromptTokens:     message.GetPromptTokens(),
		CompletionTokens: message.GetCompletionTokens(),
		Tokens:           message.GetTokens(),
		Estimated:        message.GetEstimated(),
		Router:           message.GetRouter(),
		At:               time.UnixMilli(message.GetAtMs()).UTC(),
	}
}

func recordMessage(record configuration.Record) *operatorpb.Record {
	return &operatorpb.Record{
		Revision:    record.Revision,
		OperationId: record.Change.OperationID,
		Operator:    record.Change.Operator,
		Reason:      record.Change.Reason,
		Kind:        string(record.Change.Kind),
		Name:        record.Change.Name,
		Body:        record.Change.Body,
		Previous:    record.PreviousBody,
		AtMs:        record.PublishedAt.UnixMilli(),
	}
}

func recordOf(message *operatorpb.Record) configuration.Record {
	return configuration.Record{
		Revision: message.GetRevision(),
		Change: configuration.Change{
			OperationID: message.GetOperationId(),
			Operator:    message.GetOperator(),
			Reason:      message.GetReason(),
			Kind:        configuration.Kind(message.GetKind()),
			Name:        message.GetName(),
			Body:        message.GetBody(),
		},
		PreviousBody: message.GetPrevious(),
		PublishedAt:  time.UnixMilli(message.GetAtMs()).UTC(),
	}
}

func stateMessage(state UpstreamState) *operatorpb.UpstreamState {
	return &operatorpb.UpstreamState{
		Name:    state.Name,
		Service: state.Service,
		Wanted:  modelMessage(state.Wanted),
		Actual:  modelMessage(state.Actual),
		Reason:  state.Reason,
	}
}

func stateOf(message *operatorpb.UpstreamState) UpstreamState {
	return UpstreamState{
		Name:    message.GetName(),
		Service: message.GetService(),
		Wanted:  modelOf(message.GetWanted()),
		Actual:  modelOf(message.GetActual()),
		Reason:  message.GetReason(),
	}
}

func modelMessage(model LoadedModel) *operatorpb.LoadedModel {
	return &operatorpb.LoadedModel{Model: model.Model, Adapter: model.Adapter, Version: model.Version, Role: model.Role}
}

func modelOf(message *operatorpb.LoadedModel) LoadedModel {
	return LoadedModel{
		Model:   message.GetModel(),
		Adapter: message.GetAdapter(),
		Version: message.GetVersion(),
		Role:    message.GetRole(),
	}
}
