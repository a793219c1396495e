package configuration

import "fmt"

func ExampleFieldFaults() {
	for _, fault := range FieldFaults(Upstream{Name: "engine-1", Address: "10.0.0.1"}) {
		fmt.Println(fault.Path, "breaks", fault.Rule)
	}
	// Output:
	// service breaks required
	// address breaks hostname_port
}
