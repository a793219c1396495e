// Package standin holds small stand-ins for what surrounds the router fleet:
// the platform's table service, object store and VM list, model engines and
// plain services. They are for demonstrations, tests and measurements, listen
// on loopback addresses only, and keep their own record of what ran.
package standin
