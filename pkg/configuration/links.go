package configuration

// The links between documents are rows of their own: a count of the documents
// that name a service or caller, and the holder of each unique value. They are
// written in the transaction of the change, so a deletion reads one row and
// not every profile. All publications compare the head revision, so what is
// read here after the head still holds when the transaction is applied.

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

func useKey(reference reference) platform.Key {
	return platform.Key{Partition: partitionUse, Sort: reference.String()}
}

func uniqueKey(kind Kind, value string) platform.Key {
	return platform.Key{Partition: partitionUnique, Sort: string(kind) + "/" + value}
}

// linkSet is what a document refers to and what it holds alone.
type linkSet struct {
	references []reference
	uniques    []string
}

func linksOf(decoded document) linkSet {
	if decoded == nil {
		return linkSet{}
	}
	references := slices.Clone(decoded.references())
	slices.SortFunc(references, func(a, b reference) int { return strings.Compare(a.String(), b.String()) })
	return linkSet{references: slices.Compact(references), uniques: decoded.uniques()}
}

// linksWithout returns the links of set that other lacks.
func linksWithout(set, other linkSet) linkSet {
	return linkSet{
		references: difference(set.references, other.references),
		uniques:    difference(set.uniques, other.uniques),
	}
}

// difference returns the values that are in list and not in other.
func difference[T comparable](list, other []T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(value T) bool { return slices.Contains(other, value) })
}

// linkWrites checks the links of the change and returns the writes that move
// them from the stored document to the new one.
func (publication *publication) linkWrites(ctx context.Context) ([]platform.Write, error) {
	var stored document
	if len(publication.storedRow.Body) > 0 {
		decoded, err := kinds[publication.change.Kind].read(publication.storedRow.Body)
		if err != nil {
			return nil, err
		}
		stored = decoded
	}
	before, after := linksOf(stored), linksOf(publication.decoded)
	if publication.decoded == nil {
		if err := publication.checkUnused(ctx); err != nil {
			return nil, err
		}
	}
	dropped, added := linksWithout(before, after), linksWithout(after, before)
	uses, err := publication.moveUses(ctx, dropped.references, added.references)
	if err != nil {
		return nil, err
	}
	uniques, err := publication.moveUniques(ctx, dropped.uniques, added.uniques)
	if err != nil {
		return nil, err
	}
	return append(uses, uniques...), nil
}

// checkUnused refuses to delete a document that others name.
func (publication *publication) checkUnused(ctx context.Context) error {
	self := reference{publication.change.Kind, publication.change.Name}
	items, err := publication.publisher.table.Get(ctx, useKey(self))
	if err != nil {
		return err
	}
	row, err := platform.DecodeRow[useRow](items[0])
	if err != nil {
		return err
	}
	if row.Count == 0 {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Conflict,
		Message: fmt.Sprintf("%s is in use; documents that name it: %d", self, row.Count),
		Remedy:  "change, retire or delete the profiles and upstreams that name it first",
	})
}

// moveUses counts references down and up, and requires that new ones exist.
func (publication *publication) moveUses(ctx context.Context, dropped, added []reference) ([]platform.Write, error) {
	if len(dropped)+len(added) == 0 {
		return nil, nil
	}
	if err := publication.checkExist(ctx, added); err != nil {
		return nil, err
	}
	references := slices.Concat(dropped, added)
	keys := make([]platform.Key, len(references))
	for i, reference := range references {
		keys[i] = useKey(reference)
	}
	items, err := publication.publisher.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	writes := make([]platform.Write, len(items))
	for i, item := range items {
		row, err := platform.DecodeRow[useRow](item)
		if err != nil {
			return nil, err
		}
		if i < len(dropped) {
			row.Count--
		} else {
			row.Count++
		}
		writes[i] = platform.PutIfUnchanged(item, row)
	}
	return writes, nil
}

// checkExist names every reference that does not exist.
func (publication *publication) checkExist(ctx context.Context, references []reference) error {
	if len(references) == 0 {
		return nil
	}
	keys := make([]platform.Key, len(references))
	for i, reference := range references {
		keys[i] = documentKey(reference.kind, reference.name)
	}
	items, err := publication.publisher.table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	var faults []string
	for i, item := range items {
		row, err := platform.DecodeRow[documentRow](item)
		if err != nil {
			return err
		}
		if len(row.Body) == 0 {
			faults = append(faults, references[i].String()+" does not exist")
		}
	}
	if len(faults) > 0 {
		return invalid(faults...)
	}
	return nil
}

// moveUniques gives up values and takes others that no document holds.
func (publication *publication) moveUniques(ctx context.Context, dropped, added []string) ([]platform.Write, error) {
	kind, name := publication.change.Kind, publication.change.Name
	var writes []platform.Write
	for _, value := range dropped {
		writes = append(writes, platform.Write{Key: uniqueKey(kind, value), Action: platform.Delete})
	}
	for _, value := range added {
		items, err := publication.publisher.table.Get(ctx, uniqueKey(kind, value))
		if err != nil {
			return nil, err
		}
		row, err := platform.DecodeRow[uniqueRow](items[0])
		if err != nil {
			return nil, err
		}
		if row.Holder != "" {
			return nil, fault.New(fault.Config{
				Kind:    fault.Conflict,
				Message: fmt.Sprintf("%s is held by %s/%s", value, kind, row.Holder),
				Remedy:  "choose another value, or change that document first",
			})
		}
		writes = append(writes, platform.PutIfUnchanged(items[0], uniqueRow{Holder: name}))
	}
	return writes, nil
}
