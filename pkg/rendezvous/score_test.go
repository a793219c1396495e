package rendezvous_test

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

func ExampleScore() {
	keyHash := rendezvous.Hash("warranty")
	bestNode := ""
	for _, node := range []string{"10.0.1.1:8080", "10.0.2.1:8080", "10.0.3.1:8080"} {
		if bestNode == "" || rendezvous.Score(keyHash, rendezvous.Hash(node)) > rendezvous.Score(keyHash, rendezvous.Hash(bestNode)) {
			bestNode = node
		}
	}
	fmt.Println(bestNode)
	// Output: 10.0.3.1:8080
}
