// Package standin implements small in-memory replacements for the systems that
// the router fleet depends on: the platform's table service, object store and VM
// list, model engines, and plain services. They serve demonstrations, tests and
// measurements, listen on loopback addresses only, and record what they ran, so
// that checks need not rely on what a router reports.
//
// NewPlatform, NewEngine and NewService each start an HTTP server for their
// protocol (endpoint.go). Calls to the platform are subject to rate limits and
// injected faults before they reach Table, Objects or VMList (interceptor.go).
// An engine runs completions as attempts in a batch (engine.go) and streams
// their events (stream.go). A service runs every order it receives (service.go).
package standin
