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

// Objects is an in-memory object store. It injects no faults; Platform adds rate
// limits and faults.
type Objects struct {
	mutex sync.Mutex
	tree  *btree.BTreeG[object]
}

type object struct {
	name  string
	value []byte
}

var _ platform.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	less := func(a, b object) bool { return a.name < b.name }
	return &Objects{tree: btree.NewG(treeDegree, less)}
}

// Put stores an object, replacing an existing one with the same name.
func (objects *Objects) Put(_ context.Context, name string, value []byte) error {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.tree.ReplaceOrInsert(object{name: name, value: slices.Clone(value)})
	return nil
}

// Get reads an object. It returns fault.NotFound if there is none with the name.
func (objects *Objects) Get(_ context.Context, name string) ([]byte, error) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	found, ok := objects.tree.Get(object{name: name})
	if !ok {
		return nil, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "no object " + name,
			Remedy:  "check the name of the object",
		})
	}
	return slices.Clone(found.value), nil
}

// List returns the object names with the prefix that sort after the given name, in
// order. A limit of zero means platform.DefaultQueryLimit, which is also the
// maximum.
func (objects *Objects) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	if limit <= 0 || limit > platform.DefaultQueryLimit {
		limit = platform.DefaultQueryLimit
	}
	var names []string
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.tree.AscendGreaterOrEqual(object{name: max(prefix, after)}, func(found object) bool {
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

// Delete removes an object. It is no error if there is none with the name.
func (objects *Objects) Delete(_ context.Context, name string) error {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.tree.Delete(object{name: name})
	return nil
}

func (objects *Objects) copy() *btree.BTreeG[object] {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	return objects.tree.Clone()
}

func (objects *Objects) restore(earlier *btree.BTreeG[object]) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.tree = earlier.Clone()
}
