package command

import (
	"encoding/json"
	"fmt"

	"github.com/oklog/ulid/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// Change holds the flags of commands that change the configuration.
type Change struct {
	Connection
	OperationID string  `help:"Id of the operation. A retry under the id of an earlier try takes effect once." placeholder:"ID"`
	Reason      string  `help:"Why, for the audit trail." required:""`
	Expected    *uint64 `help:"Revision of the document that the change starts from; 0 means that there is none yet." placeholder:"REVISION"`
	JSON        bool    `help:"Print JSON."`
}

// begin returns the flags with an operation id, which is printed before anything
// is sent, so that it is known when the answer is lost.
func (change Change) begin(environment Environment) Change {
	if change.OperationID == "" {
		change.OperationID = ulid.Make().String()
	}
	fmt.Fprintf(environment.ErrOut, "operation id: %s\n", change.OperationID)
	return change
}

// part returns the flags for one of several documents of an operation. The first
// has the operation's own id.
func (change Change) part(index int) Change {
	if index > 0 {
		change.OperationID = fmt.Sprintf("%s-%d", change.OperationID, index)
	}
	return change
}

// changeOutput is the JSON of an accepted change.
type changeOutput struct {
	OperationID string             `json:"operation_id"`
	Kind        configuration.Kind `json:"kind"`
	Name        string             `json:"name"`
	operator.Publication
}

// report prints an accepted change, or explains a failed one.
func (change Change) report(environment Environment, output changeOutput, err error) error {
	if err != nil {
		return change.explain(err)
	}
	output.OperationID = change.OperationID
	if change.JSON {
		return printJSON(environment, output)
	}
	return printChange(environment, output)
}

// explain adds to an unknown outcome how to make it known.
func (change Change) explain(err error) error {
	if fault.OutcomeOf(err) != fault.OutcomeUnknown {
		return err
	}
	return fault.New(fault.Config{
		Kind:    fault.KindOf(err),
		Message: fault.MessageOf(err) + "; the change may have taken effect",
		Remedy:  "run the command again with --operation-id " + change.OperationID + "; it takes effect once",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}

func printChange(environment Environment, output changeOutput) error {
	current := output.RouterCount - len(output.LaggingRouters)
	_, err := fmt.Fprintf(environment.Out, "%s %s: accepted as revision %d; %d of %d live routers are on it\n",
		output.Kind, output.Name, output.Revision, current, output.RouterCount)
	if err != nil {
		return err
	}
	for _, member := range output.LaggingRouters {
		if _, err := fmt.Fprintf(environment.Out, "not yet: %s in %s: %s\n", member.Incarnation, member.Zone, member.Reason); err != nil {
			return err
		}
	}
	return nil
}

// publish sends one document; a nil body removes it.
func (change Change) publish(environment Environment, client *operator.Client, document configuration.StoredDocument) error {
	publication, err := client.Publish(environment.Context, configuration.Change{
		OperationID:      change.OperationID,
		Reason:           change.Reason,
		Kind:             document.Kind,
		Name:             document.Name,
		ExpectedRevision: document.Revision,
		Body:             document.Body,
	})
	return change.report(environment, changeOutput{Kind: document.Kind, Name: document.Name, Publication: publication}, err)
}

// limit changes the limit of a profile.
func (change Change) limit(environment Environment, profile string, addTokens int64) error {
	client, err := change.client(environment)
	if err != nil {
		return err
	}
	change = change.begin(environment)
	publication, err := client.ChangeLimit(environment.Context, operator.LimitChange{
		OperationID: change.OperationID,
		Reason:      change.Reason,
		Profile:     profile,
		AddTokens:   addTokens,
	})
	return change.report(environment, changeOutput{Kind: configuration.KindLimit, Name: profile, Publication: publication}, err)
}

// publishNew checks all bodies, then sends them as new documents one after the
// other and stops at the first that is refused.
func publishNew[Body any](environment Environment, change Change, kind documentKind[Body], bodies []Body) error {
	documents, err := kind.documents(bodies)
	if err != nil {
		return err
	}
	client, err := change.client(environment)
	if err != nil {
		return err
	}
	change = change.begin(environment)
	for i, document := range documents {
		if change.Expected != nil {
			document.Revision = *change.Expected
		}
		if err := change.part(i).publish(environment, client, document); err != nil {
			return err
		}
	}
	return nil
}

// replaceDocument reads a document, applies the edit and publishes the result on
// the revision that it read.
func replaceDocument[Body any](environment Environment, change Change, kind documentKind[Body], name string, edit func(Body) Body) error {
	client, err := change.client(environment)
	if err != nil {
		return err
	}
	change = change.begin(environment)
	current, err := client.Document(environment.Context, kind.kind, name)
	if err != nil {
		return err
	}
	var body Body
	if err := json.Unmarshal(current.Body, &body); err != nil {
		return err
	}
	document, err := kind.document(edit(body))
	if err != nil {
		return err
	}
	document.Revision = current.Revision
	if change.Expected != nil {
		document.Revision = *change.Expected
	}
	return change.publish(environment, client, document)
}

// removeDocument deletes a document on the revision that it reads.
func removeDocument[Body any](environment Environment, change Change, kind documentKind[Body], name string) error {
	client, err := change.client(environment)
	if err != nil {
		return err
	}
	change = change.begin(environment)
	document := configuration.StoredDocument{Kind: kind.kind, Name: name}
	if change.Expected != nil {
		document.Revision = *change.Expected
		return change.publish(environment, client, document)
	}
	current, err := client.Document(environment.Context, kind.kind, name)
	// A document that is gone may have been removed by an earlier try of this
	// operation, which the router knows by the operation id.
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	document.Revision = current.Revision
	return change.publish(environment, client, document)
}
