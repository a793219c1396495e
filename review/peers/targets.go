package main

import (
	"fmt"
	"sync"
)

// oddEvery is how many requests there are to one with an odd target.
const oddEvery = 20

// targets are the targets that clients sent, by the ID of the request.
type targets struct{ byID sync.Map }

func (targets *targets) add(id uint64, target string) {
	targets.byID.Store(fmt.Sprintf("%016x", id), target)
}

func (targets *targets) of(id string) string {
	target, _ := targets.byID.Load(id)
	text, _ := target.(string)
	return text
}
