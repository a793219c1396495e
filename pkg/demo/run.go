package demo

// What a caller and an operator see of a fleet, printed step by step.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/completion"
	"gitlab.com/wisterialb/wisterialb/pkg/entry"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
	closeTimeout  = 20 * time.Second
	billTimeout   = 10 * time.Second
	// sentRequests are the stream and the booking.
	sentRequests  = 2
	answerTokens  = 24
	tokenInterval = 30 * time.Millisecond
	tableWrites   = 400
	tableReads    = 2000
)

// RunConfig describes a demonstration.
type RunConfig struct {
	// Keep leaves the fleet running until the context ends.
	Keep bool
	// Out receives what is shown.
	Out io.Writer
	// Fleet describes the fleet; the zero value is a fleet of three routers.
	Fleet FleetConfig
}

// Run starts a fleet, sends requests through it and prints what happened.
func Run(ctx context.Context, config RunConfig) error {
	if len(config.Fleet.Zones) == 0 {
		config.Fleet = smallFleet(config.Fleet)
	}
	fleet, err := StartFleet(config.Fleet) //nolint:contextcheck // the fleet outlives the context and is closed below
	if err != nil {
		return err
	}
	show := &presentation{fleet: fleet, out: config.Out}
	err = show.run(ctx)
	if err == nil && config.Keep {
		show.keep(ctx)
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if closeErr := fleet.Close(closing); err == nil {
		err = closeErr
	}
	return err
}

func smallFleet(config FleetConfig) FleetConfig {
	config.Zones = []string{"varnamo", "gislaved", "jonkoping"}
	config.Services = 1
	config.Platform = standin.PlatformConfig{WritesPerSecond: tableWrites, ReadsPerSecond: tableReads}
	config.Engines = []standin.EngineConfig{
		{Name: "engine-1", Slots: 8, TokenInterval: tokenInterval},
		{Name: "engine-2", Slots: 8, TokenInterval: tokenInterval},
	}
	return config
}

// presentation prints the steps of a demonstration.
type presentation struct {
	fleet *Fleet
	out   io.Writer
	entry string
}

func (presentation *presentation) run(ctx context.Context) error {
	steps := []func(context.Context) error{
		presentation.start, presentation.publish, presentation.askEntry, presentation.stream, presentation.book, presentation.bills, presentation.audit,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (presentation *presentation) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(presentation.out, format, values...)
}

func (presentation *presentation) start(ctx context.Context) error {
	presentation.printf("platform  %s\n", presentation.fleet.Platform.Address())
	for _, node := range presentation.fleet.Routers {
		presentation.printf("router    %s in %s, operators at %s\n", node.CallerAddress(), node.Settings.Zone, node.Settings.OperatorAddress)
	}
	return presentation.fleet.WaitLive(ctx)
}

func (presentation *presentation) publish(ctx context.Context) error {
	if err := presentation.fleet.Publish(ctx, ProfileLimit); err != nil {
		return err
	}
	presentation.printf("\npublished profile %s with %d tokens\n", ProfileName, ProfileLimit)
	return nil
}

func (presentation *presentation) askEntry(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+presentation.fleet.Routers[0].CallerAddress()+"/v1/entry?profile="+ProfileName, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer entry.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	if len(answer.Addresses) == 0 {
		return fault.New(fault.Config{Kind: fault.Unavailable, Message: "no router takes requests", Remedy: "look at the routers' logs"})
	}
	presentation.entry = answer.Addresses[0]
	presentation.printf("entry     %s for %d ms\n", strings.Join(answer.Addresses, ", "), answer.LifetimeMS)
	return nil
}

func (presentation *presentation) stream(ctx context.Context) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Which ring fits a six litre pot from 1974?"}]}`, ModelName, answerTokens)
	response, err := presentation.call(ctx, "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	presentation.printf("\nstreamed answer: ")
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == completion.Done {
			presentation.printf("\n")
			return nil
		}
		chunk, err := completion.ParseChunk([]byte(data))
		if err != nil {
			return err
		}
		for _, choice := range chunk.Choices {
			presentation.printf("%s", choice.Delta.Content)
		}
	}
	return fault.New(fault.Config{Kind: fault.UpstreamFailed, Message: "the stream had no end", Remedy: "look at the routers' logs", Outcome: fault.OutcomeUnknown})
}

func (presentation *presentation) book(ctx context.Context) error {
	response, err := presentation.call(ctx, "/v1/services/"+OrderService+"/bookings", `{"ring":"6l-1974","count":1}`)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	presentation.printf("booking: %s %s\n", response.Header.Get("Wisterialb-Outcome"), bytes.TrimSpace(body))
	return nil
}

func (presentation *presentation) call(ctx context.Context, path, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+presentation.entry+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+CallerToken)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Wisterialb-Profile", ProfileName)
	request.Header.Set("Idempotency-Key", ulid.Make().String())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return nil, fault.New(fault.Config{Kind: fault.UpstreamFailed, Message: response.Status + ": " + string(text), Remedy: "look at the routers' logs"})
}

func (presentation *presentation) bills(ctx context.Context) error {
	client, err := presentation.fleet.Operator()
	if err != nil {
		return err
	}
	lines, err := awaitBills(ctx, client)
	if err != nil {
		return err
	}
	presentation.printf("\nbills of %s\n", ProfileName)
	for _, line := range lines {
		presentation.printf("  %-5s %s %s: %d prompt + %d generated, charged %d\n",
			line.Kind, line.RequestID, line.Service, line.PromptTokens, line.CompletionTokens, line.Tokens)
	}
	statement, err := client.Budget(ctx, ProfileName)
	if err != nil {
		return err
	}
	granted := int64(0)
	for _, holder := range statement.Holders {
		granted += holder.GrantedTokens
	}
	presentation.printf("budget: limit %d = free %d + granted %d + settled %d (bills %d, waste %d, unattributed %d)\n",
		statement.LimitTokens, statement.FreeTokens, granted, statement.SettledTokens,
		statement.BillTokens, statement.WasteTokens, statement.UnattributedTokens)
	return nil
}

// awaitBills waits until the ledger has a bill for each of the requests that
// were sent, or until a bound. An answer ends as soon as a second router holds
// its bill, which reaches the table with the next settlement.
func awaitBills(ctx context.Context, client *operator.Client) ([]budget.Line, error) {
	ctx, cancel := context.WithTimeout(ctx, billTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		lines, _, err := client.Bills(ctx, ProfileName, operator.Page{})
		if err != nil || len(lines) >= sentRequests {
			return lines, err
		}
		select {
		case <-ctx.Done():
			return lines, nil
		case <-ticker.C:
		}
	}
}

func (presentation *presentation) audit(ctx context.Context) error {
	client, err := presentation.fleet.Operator()
	if err != nil {
		return err
	}
	records, _, err := client.Audit(ctx, 0, 0)
	if err != nil {
		return err
	}
	presentation.printf("\naudit trail\n")
	for _, record := range records {
		presentation.printf("  %d %s %s put %s %s: %s\n", record.Revision, record.PublishedAt.Format(time.RFC3339),
			record.Change.Operator, record.Change.Kind, record.Change.Name, record.Change.Reason)
	}
	return nil
}

func (presentation *presentation) keep(ctx context.Context) {
	presentation.printf("\nThe fleet keeps running until the process is interrupted. Call it with\n\n")
	presentation.printf("  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Wisterialb-Profile: %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Which ring?\"}]}'\n",
		presentation.entry, CallerToken, ProfileName, ModelName)
	presentation.printf("\nand as operator with --address %s and the token %s\n", presentation.fleet.Routers[0].Settings.OperatorAddress, OperatorToken)
	<-ctx.Done()
}
