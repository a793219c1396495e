package standin

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/google/btree"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Objects is an object store in memory. It never fails by itself.
type Objects struct {
	mutex   sync.Mutex
	objects *btree.BTreeG[object]
}

type object struct {
	name  string
	value []byte
}

var _ platform.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	less := func(a, b object) bool { return a.name < b.name }
	return &Objects{objects: btree.NewG(treeDegree, less)}
}

// Put stores an object whole.
func (objects *Objects) Put(_ context.Context, name string, value []byte) error {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.objects.ReplaceOrInsert(object{name: name, value: slices.Clone(value)})
	return nil
}

// Get reads an object.
func (objects *Objects) Get(_ context.Context, name string) ([]byte, error) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	found, ok := objects.objects.Get(object{name: name})
	if !ok {
		return nil, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "no object " + name,
			Remedy:  "check the name of the object",
		})
	}
	return slices.Clone(found.value), nil
}

// List returns names with the prefix behind after, in order.
func (objects *Objects) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	if limit <= 0 || limit > platform.DefaultQueryLimit {
		limit = platform.DefaultQueryLimit
	}
	var names []string
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.objects.AscendGreaterOrEqual(object{name: max(prefix, after)}, func(found object) bool {
		if !strings.HasPrefix(found.name, prefix) {
			return false
		}
		if after == "" || found.name > after {
			names = append(names, found.name)
		}
		return len(names) < limit
	})
	return names, nil
}

// Delete removes an object.
func (objects *Objects) Delete(_ context.Context, name string) error {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.objects.Delete(object{name: name})
	return nil
}
