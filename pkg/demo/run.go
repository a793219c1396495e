package demo

// The walkthrough prints what a caller and an operator see of a fleet.

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
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	closeTimeout = 20 * time.Second
	billTimeout  = 10 * time.Second
	// billedRequests is the number of requests that get a bill: the stream and the
	// booking.
	billedRequests       = 2
	maxTokens            = 24
	tokenInterval        = 30 * time.Millisecond
	tableWritesPerSecond = 400
	tableReadsPerSecond  = 2000
)

// RunConfig configures Run.
type RunConfig struct {
	// Keep leaves the fleet running until the context ends.
	Keep bool
	// Out receives the output.
	Out io.Writer
	// Fleet configures the fleet; without zones it is a fleet of three routers.
	Fleet FleetConfig
}

// Run starts a fleet, sends requests through it, prints the results and closes the
// fleet. The error is that of the first step that failed.
func Run(ctx context.Context, config RunConfig) error {
	if len(config.Fleet.Zones) == 0 {
		config.Fleet = defaultFleet(config.Fleet)
	}
	fleet, err := StartFleet(config.Fleet) //nolint:contextcheck // the fleet outlives the context and is closed below
	if err != nil {
		return err
	}
	walkthrough := &walkthrough{fleet: fleet, out: config.Out}
	err = walkthrough.run(ctx)
	if err == nil && config.Keep {
		walkthrough.keepRunning(ctx)
	}
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if closeErr := fleet.Close(closeCtx); err == nil {
		err = closeErr
	}
	return err
}

func defaultFleet(config FleetConfig) FleetConfig {
	config.Zones = []string{"varnamo", "gislaved", "jonkoping"}
	config.Services = 1
	config.Platform = standin.PlatformConfig{WritesPerSecond: tableWritesPerSecond, ReadsPerSecond: tableReadsPerSecond}
	config.Engines = []standin.EngineConfig{
		{Name: "engine-1", Slots: 8, TokenInterval: tokenInterval},
		{Name: "engine-2", Slots: 8, TokenInterval: tokenInterval},
	}
	return config
}

// walkthrough runs the steps of a demonstration and prints their results.
type walkthrough struct {
	fleet        *Fleet
	out          io.Writer
	entryAddress string
}

func (walkthrough *walkthrough) run(ctx context.Context) error {
	steps := []func(context.Context) error{
		walkthrough.showAddresses, walkthrough.publish, walkthrough.requestEntry, walkthrough.streamCompletion, walkthrough.bookOrder, walkthrough.showBills, walkthrough.showAuditTrail,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (walkthrough *walkthrough) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(walkthrough.out, format, values...)
}

func (walkthrough *walkthrough) showAddresses(ctx context.Context) error {
	walkthrough.printf("platform  %s\n", walkthrough.fleet.Platform.Address())
	for _, node := range walkthrough.fleet.Routers {
		walkthrough.printf("router    %s in %s, operators at %s\n", node.CallerAddress(), node.Settings.Zone, node.Settings.OperatorAddress)
	}
	return walkthrough.fleet.WaitLive(ctx)
}

func (walkthrough *walkthrough) publish(ctx context.Context) error {
	if err := walkthrough.fleet.Publish(ctx, ProfileLimit); err != nil {
		return err
	}
	walkthrough.printf("\npublished profile %s with %d tokens\n", ProfileName, ProfileLimit)
	return nil
}

func (walkthrough *walkthrough) requestEntry(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+walkthrough.fleet.Routers[0].CallerAddress()+"/v1/entry?profile="+ProfileName, nil)
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
		return fault.New(fault.Config{Kind: fault.Unavailable, Message: "no router accepts requests", Remedy: "look at the routers' logs"})
	}
	walkthrough.entryAddress = answer.Addresses[0]
	walkthrough.printf("entry     %s for %d ms\n", strings.Join(answer.Addresses, ", "), answer.LifetimeMS)
	return nil
}

func (walkthrough *walkthrough) streamCompletion(ctx context.Context) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Which ring fits a six litre pot from 1974?"}]}`, ModelName, maxTokens)
	response, err := walkthrough.sendRequest(ctx, "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	walkthrough.printf("\nstreamed answer: ")
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == completion.DoneMarker {
			walkthrough.printf("\n")
			return nil
		}
		chunk, err := completion.ParseChunk([]byte(data))
		if err != nil {
			return err
		}
		for _, choice := range chunk.Choices {
			walkthrough.printf("%s", choice.Delta.Content)
		}
	}
	return fault.New(fault.Config{Kind: fault.UpstreamFailed, Message: "the stream ended without its end marker", Remedy: "look at the routers' logs", Outcome: fault.OutcomeUnknown})
}

func (walkthrough *walkthrough) bookOrder(ctx context.Context) error {
	response, err := walkthrough.sendRequest(ctx, "/v1/services/"+OrderService+"/bookings", `{"ring":"6l-1974","count":1}`)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	walkthrough.printf("booking: %s %s\n", response.Header.Get("Wisterialb-Outcome"), bytes.TrimSpace(body))
	return nil
}

func (walkthrough *walkthrough) sendRequest(ctx context.Context, path, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+walkthrough.entryAddress+path, strings.NewReader(body))
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

func (walkthrough *walkthrough) showBills(ctx context.Context) error {
	client, err := walkthrough.fleet.Operator()
	if err != nil {
		return err
	}
	lines, err := waitForBills(ctx, client)
	if err != nil {
		return err
	}
	walkthrough.printf("\nbills of %s\n", ProfileName)
	for _, line := range lines {
		walkthrough.printf("  %-5s %s %s: %d prompt + %d generated, charged %d\n",
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
	walkthrough.printf("budget: limit %d = free %d + granted %d + settled %d (bills %d, waste %d, unattributed %d)\n",
		statement.LimitTokens, statement.FreeTokens, granted, statement.SettledTokens,
		statement.BillTokens, statement.WasteTokens, statement.UnattributedTokens)
	return nil
}

// waitForBills waits until the ledger has a bill for each request, or until
// billTimeout, and returns the bills. A bill may follow its response: a router ends
// a response as soon as a second router holds a copy of the bill and writes the
// bill to the table with the next settlement.
func waitForBills(ctx context.Context, client *operator.Client) ([]budget.Line, error) {
	ctx, cancel := context.WithTimeout(ctx, billTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		lines, _, err := client.Bills(ctx, ProfileName, operator.Page{})
		if err != nil || len(lines) >= billedRequests {
			return lines, err
		}
		select {
		case <-ctx.Done():
			return lines, nil
		case <-ticker.C:
		}
	}
}

func (walkthrough *walkthrough) showAuditTrail(ctx context.Context) error {
	client, err := walkthrough.fleet.Operator()
	if err != nil {
		return err
	}
	records, _, err := client.Audit(ctx, 0, 0)
	if err != nil {
		return err
	}
	walkthrough.printf("\naudit trail\n")
	for _, record := range records {
		walkthrough.printf("  %d %s %s put %s %s: %s\n", record.Revision, record.PublishedAt.Format(time.RFC3339),
			record.Change.Operator, record.Change.Kind, record.Change.Name, record.Change.Reason)
	}
	return nil
}

func (walkthrough *walkthrough) keepRunning(ctx context.Context) {
	walkthrough.printf("\nThe fleet keeps running until the process is interrupted. Call it with\n\n")
	walkthrough.printf("  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Wisterialb-Profile: %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Which ring?\"}]}'\n",
		walkthrough.entryAddress, CallerToken, ProfileName, ModelName)
	walkthrough.printf("\nand as operator with --address %s and the token %s\n", walkthrough.fleet.Routers[0].Settings.OperatorAddress, OperatorToken)
	<-ctx.Done()
}
