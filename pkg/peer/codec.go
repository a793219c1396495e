package peer

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/peer/peerpb"
)

// convert maps a list.
func convert[From, To any](list []From, one func(From) To) []To {
	if len(list) == 0 {
		return nil
	}
	converted := make([]To, len(list))
	for i, value := range list {
		converted[i] = one(value)
	}
	return converted
}

func memberToWire(member fleet.Member) *peerpb.Member {
	return &peerpb.Member{
		Incarnation:     member.Incarnation,
		CallerAddress:   member.CallerAddress,
		PeerAddress:     member.PeerAddress,
		OperatorAddress: member.OperatorAddress,
		Zone:            member.Zone,
		State:           string(member.State),
		Revision:        member.Revision,
		Load:            member.Load,
		Sequence:        member.Sequence,
	}
}

func memberFromWire(member *peerpb.Member) fleet.Member {
	return fleet.Member{
		Incarnation:     member.GetIncarnation(),
		CallerAddress:   member.GetCallerAddress(),
		PeerAddress:     member.GetPeerAddress(),
		OperatorAddress: member.GetOperatorAddress(),
		Zone:            member.GetZone(),
		State:           fleet.State(member.GetState()),
		Revision:        member.GetRevision(),
		Load:            member.GetLoad(),
		Sequence:        member.GetSequence(),
	}
}

func messageToWire(message fleet.Message) *peerpb.Message {
	return &peerpb.Message{
		Sender:     memberToWire(message.Sender),
		Members:    convert(message.Members, memberToWire),
		LeavingVms: message.LeavingVMs,
		Busy:       convert(message.Busy, busyToWire),
	}
}

func messageFromWire(message *peerpb.Message) fleet.Message {
	return fleet.Message{
		Sender:     memberFromWire(message.GetSender()),
		Members:    convert(message.GetMembers(), memberFromWire),
		LeavingVMs: message.GetLeavingVms(),
		Busy:       convert(message.GetBusy(), busyFromWire),
	}
}

func busyToWire(busy fleet.BusyProfile) *peerpb.Busy {
	return &peerpb.Busy{Profile: busy.Profile, Width: int32(busy.Width)}
}

func busyFromWire(busy *peerpb.Busy) fleet.BusyProfile {
	return fleet.BusyProfile{Profile: busy.GetProfile(), Width: int(busy.GetWidth())}
}

func recordToWire(record configuration.Record) *peerpb.Record {
	change := record.Change
	return &peerpb.Record{
		Revision: record.Revision,
		Change: &peerpb.Change{
			OperationId: change.OperationID,
			Operator:    change.Operator,
			Reason:      change.Reason,
			Kind:        string(change.Kind),
			Name:        change.Name,
			Expected:    change.ExpectedRevision,
			Body:        change.Body,
		},
		Previous:   record.PreviousBody,
		AtUnixNano: timeToWire(record.PublishedAt),
	}
}

func recordFromWire(record *peerpb.Record) configuration.Record {
	change := record.GetChange()
	return configuration.Record{
		Revision: record.GetRevision(),
		Change: configuration.Change{
			OperationID:      change.GetOperationId(),
			Operator:         change.GetOperator(),
			Reason:           change.GetReason(),
			Kind:             configuration.Kind(change.GetKind()),
			Name:             change.GetName(),
			ExpectedRevision: change.GetExpected(),
			Body:             change.GetBody(),
		},
		PreviousBody: record.GetPrevious(),
		PublishedAt:  timeFromWire(record.GetAtUnixNano()),
	}
}

func lineToWire(line budget.Line) *peerpb.Line {
	return &peerpb.Line{
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
		AtUnixNano:       timeToWire(line.At),
	}
}

func lineFromWire(line *peerpb.Line) budget.Line {
	return budget.Line{
		Kind:             budget.LineKind(line.GetKind()),
		Profile:          line.GetProfile(),
		RequestID:        line.GetRequestId(),
		Caller:           line.GetCaller(),
		Team:             line.GetTeam(),
		Service:          line.GetService(),
		Attempt:          line.GetAttempt(),
		PromptTokens:     line.GetPromptTokens(),
		CompletionTokens: line.GetCompletionTokens(),
		Tokens:           line.GetTokens(),
		Estimated:        line.GetEstimated(),
		Router:           line.GetRouter(),
		At:               timeFromWire(line.GetAtUnixNano()),
	}
}

func settlementToWire(settlement budget.Settlement) *peerpb.Settlement {
	return &peerpb.Settlement{
		Profile:   settlement.Reservation.Profile,
		RequestId: settlement.Reservation.RequestID,
		Tokens:    settlement.Reservation.Tokens,
		Lines:     convert(settlement.Lines, lineToWire),
		Number:    settlement.Number,
	}
}

func settlementFromWire(settlement *peerpb.Settlement) budget.Settlement {
	return budget.Settlement{
		Reservation: budget.Reservation{
			Profile:   settlement.GetProfile(),
			RequestID: settlement.GetRequestId(),
			Tokens:    settlement.GetTokens(),
		},
		Lines:  convert(settlement.GetLines(), lineFromWire),
		Number: settlement.GetNumber(),
	}
}

// timeToWire keeps the zero time as 0.
func timeToWire(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func timeFromWire(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
