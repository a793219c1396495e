// Package standin holds small stand-ins for what surrounds the router fleet:
// the platform's table service, object store and VM list, model engines and
// plain services. They are for demonstrations, tests and measurements, listen
// on loopback addresses only, and keep their own record of what ran.
//
// The flow: NewPlatform, NewEngine and NewService each start an endpoint with
// the handlers of their protocol (endpoint.go). A call to the platform passes a
// gate of rates and faults before it reaches Table, Objects or VMList (gate.go);
// a completion becomes an attempt that the engine's batch runs (engine.go) and
// streams follow (stream.go); a service runs each order (service.go).
package standin
