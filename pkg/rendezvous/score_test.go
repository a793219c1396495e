package rendezvous_test

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

func ExampleScore() {
	key := rendezvous.Hash("warranty")
	best := ""
	for _, node := range []string{"10.0.1.1:8080", "10.0.2.1:8080", "10.0.3.1:8080"} {
		if best == "" || rendezvous.Score(key, rendezvous.Hash(node)) > rendezvous.Score(key, rendezvous.Hash(best)) {
			best = node
		}
	}
	fmt.Println(best)
	// Output: 10.0.3.1:8080
}
