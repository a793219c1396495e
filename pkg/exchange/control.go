package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"
)

// maxControlResponseBytes limits the body of the response to a control request, which
// is any request that is not an attempt or the resumption of one. A record or report has
// less than 300 bytes, and as many may be read at once as there are requests.
const maxControlResponseBytes = 4 << 10

// ErrUnknownAttempt means that the engine has no record of the attempt.
var ErrUnknownAttempt = errors.New("the engine does not know the attempt")

// StatusError means that an upstream answered with an unexpected HTTP status.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

// Error returns a message with the status.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("the upstream refused a control request with status %d", statusError.Status)
}

// State is the state of an attempt as reported by its engine.
type State string

// States of an attempt.
const (
	StateRunning   State = "running"
	StateFinished  State = "finished"
	StateCancelled State = "cancelled"
)

// Record is an engine's record of an attempt.
type Record struct {
	// Attempt is the ID of the attempt.
	Attempt string `json:"attempt"`
	State   State  `json:"state"`
	// Position is the position of the last event that the engine has sent.
	Position         int64 `json:"position"`
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// LoadReport is the load that an upstream reports.
type LoadReport struct {
	// Running is the number of running attempts from all routers.
	Running int64 `json:"running"`
	// Waiting is the number of queued attempts from all routers.
	Waiting int64 `json:"waiting"`
	// Capacity is the number of attempts that can run at once; zero means unknown.
	Capacity int64 `json:"capacity"`
	// AgeMS is the age of the report when it was sent, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

const (
	// maxReportedAttempts limits each number of a load report.
	maxReportedAttempts = 1 << 16
	// maxReportAge limits the age of a load report. Its weight is nothing long before.
	maxReportAge = time.Hour
)

// IsPlausible reports whether an upstream can have the load.
func (loadReport LoadReport) IsPlausible() bool {
	isInRange := func(value, largest int64) bool { return value >= 0 && value <= largest }
	return isInRange(loadReport.Running, maxReportedAttempts) && isInRange(loadReport.Waiting, maxReportedAttempts) &&
		isInRange(loadReport.Capacity, maxReportedAttempts) && isInRange(loadReport.AgeMS, maxReportAge.Milliseconds())
}

// attemptPath returns the URL path of an attempt.
func attemptPath(attemptID string) string {
	return "/v1/attempts/" + url.PathEscape(attemptID)
}

// Cancel cancels an attempt over a new connection and returns its final record. The
// error is ErrUnknownAttempt if the engine has no record of the attempt.
func (client *Client) Cancel(ctx context.Context, attemptID string) (Record, error) {
	var record Record
	_, err := client.sendControl(ctx, client.unpooledTransport, http.MethodPost, attemptPath(attemptID)+"/cancel", &record)
	return record, err
}

// AttemptRecord reads the record of an attempt over a new connection. The error is
// ErrUnknownAttempt if the engine has no record of the attempt.
func (client *Client) AttemptRecord(ctx context.Context, attemptID string) (Record, error) {
	var record Record
	_, err := client.sendControl(ctx, client.unpooledTransport, http.MethodGet, attemptPath(attemptID), &record)
	return record, err
}

// LoadReport reads the upstream's load report. It uses a pooled connection, so that a
// timeout indicates that pooled connections have stalled. The error is
// ErrUnknownAttempt if the upstream answers with status 404.
func (client *Client) LoadReport(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	_, err := client.sendControl(ctx, client.transport(false), http.MethodGet, "/v1/load", &report)
	return report, err
}

// CheckHealth returns nil if the upstream reports that it is healthy, and whether it
// says that it is leaving. It uses a new connection.
func (client *Client) CheckHealth(ctx context.Context) (leaving bool, err error) {
	return client.sendControl(ctx, client.unpooledTransport, http.MethodGet, "/healthz", nil)
}

// sendControl sends a request without a body and decodes the JSON response into
// target unless target is nil. It returns whether the upstream says that it is leaving.
// The error is ErrUnknownAttempt for status 404 and a StatusError for any other status
// than 200.
func (client *Client) sendControl(ctx context.Context, transport *http.Transport, method, path string, target any) (leaving bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.ControlTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+client.config.Address+path, http.NoBody)
	if err != nil {
		return false, err
	}
	trace := &httptrace.ClientTrace{GotConn: beginControl}
	response, err := transport.RoundTrip(httpRequest.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	client.readNotice(response, path)
	leaving = noticeOf(response, path).Leaving
	if response.StatusCode == http.StatusNotFound {
		return leaving, ErrUnknownAttempt
	}
	if response.StatusCode != http.StatusOK {
		return leaving, &StatusError{Status: response.StatusCode}
	}
	body := io.LimitReader(response.Body, maxControlResponseBytes)
	if target != nil {
		err = json.NewDecoder(body).Decode(target)
	}
	_, _ = io.Copy(io.Discard, body)
	return leaving, err
}

// beginControl prepares the connection that the transport has assigned to a control
// request.
func beginControl(info httptrace.GotConnInfo) {
	if assignedConnection, ok := info.Conn.(*connection); ok {
		assignedConnection.beginControl()
	}
}
