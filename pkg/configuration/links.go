package configuration

// Links are the references between documents and the values that must be unique.
// The table has a row for each: the number of documents that reference a service
// or caller, and the document that holds a unique value. The rows are written in
// the transaction of the change, so a deletion reads one row instead of every
// profile. Each transaction requires that the head is unchanged, so rows that
// were read after the head are still current when the transaction is applied.

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

func referenceCountKey(reference reference) platform.Key {
	return platform.Key{Partition: partitionReferenceCount, Sort: reference.String()}
}

func uniqueValueKey(kind Kind, value string) platform.Key {
	return platform.Key{Partition: partitionUniqueValue, Sort: string(kind) + "/" + value}
}

// linkSet has the references and the unique values of a document.
type linkSet struct {
	references   []reference
	uniqueValues []string
}

func linksOf(decoded document) linkSet {
	if decoded == nil {
		return linkSet{}
	}
	references := slices.Clone(decoded.references())
	slices.SortFunc(references, func(a, b reference) int { return strings.Compare(a.String(), b.String()) })
	return linkSet{references: slices.Compact(references), uniqueValues: decoded.uniqueValues()}
}

// linksNotIn returns the links that are in set and not in other.
func linksNotIn(set, other linkSet) linkSet {
	return linkSet{
		references:   difference(set.references, other.references),
		uniqueValues: difference(set.uniqueValues, other.uniqueValues),
	}
}

// difference returns the values that are in list and not in other.
func difference[T comparable](list, other []T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(value T) bool { return slices.Contains(other, value) })
}

// linkWrites checks the links of the new document and returns the writes that
// replace the stored document's links with them.
func (publishAttempt *publishAttempt) linkWrites(ctx context.Context) ([]platform.Write, error) {
	var storedDocument document
	if len(publishAttempt.documentRow.Body) > 0 {
		document, err := decoders[publishAttempt.change.Kind].decodeStored(publishAttempt.documentRow.Body)
		if err != nil {
			return nil, err
		}
		storedDocument = document
	}
	oldLinks, newLinks := linksOf(storedDocument), linksOf(publishAttempt.newDocument)
	if publishAttempt.newDocument == nil {
		if err := publishAttempt.checkUnreferenced(ctx); err != nil {
			return nil, err
		}
	}
	removed, added := linksNotIn(oldLinks, newLinks), linksNotIn(newLinks, oldLinks)
	countWrites, err := publishAttempt.updateReferenceCounts(ctx, removed.references, added.references)
	if err != nil {
		return nil, err
	}
	uniqueWrites, err := publishAttempt.updateUniqueValues(ctx, removed.uniqueValues, added.uniqueValues)
	if err != nil {
		return nil, err
	}
	return append(countWrites, uniqueWrites...), nil
}

// checkUnreferenced returns a fault.Conflict error if other documents reference
// the document.
func (publishAttempt *publishAttempt) checkUnreferenced(ctx context.Context) error {
	self := reference{publishAttempt.change.Kind, publishAttempt.change.Name}
	items, err := publishAttempt.publisher.table.Get(ctx, referenceCountKey(self))
	if err != nil {
		return err
	}
	row, err := platform.DecodeRow[referenceCountRow](items[0])
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

// updateReferenceCounts returns the writes that decrement the counts of removed
// references and increment those of added ones. It returns an error if the
// document of an added reference does not exist.
func (publishAttempt *publishAttempt) updateReferenceCounts(ctx context.Context, removed, added []reference) ([]platform.Write, error) {
	if len(removed)+len(added) == 0 {
		return nil, nil
	}
	if err := publishAttempt.checkReferencesExist(ctx, added); err != nil {
		return nil, err
	}
	references := slices.Concat(removed, added)
	keys := make([]platform.Key, len(references))
	for i, reference := range references {
		keys[i] = referenceCountKey(reference)
	}
	items, err := publishAttempt.publisher.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	writes := make([]platform.Write, len(items))
	for i, item := range items {
		row, err := platform.DecodeRow[referenceCountRow](item)
		if err != nil {
			return nil, err
		}
		if i < len(removed) {
			row.Count--
		} else {
			row.Count++
		}
		writes[i] = platform.PutIfUnchanged(item, row)
	}
	return writes, nil
}

// checkReferencesExist returns an error that names every referenced document
// that does not exist.
func (publishAttempt *publishAttempt) checkReferencesExist(ctx context.Context, references []reference) error {
	if len(references) == 0 {
		return nil
	}
	keys := make([]platform.Key, len(references))
	for i, reference := range references {
		keys[i] = documentKey(reference.kind, reference.name)
	}
	items, err := publishAttempt.publisher.table.Get(ctx, keys...)
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
		return invalidChange(faults...)
	}
	return nil
}

// updateUniqueValues returns the writes that release removed values and assign
// added ones to this document. The error is fault.Conflict if another document
// holds an added value.
func (publishAttempt *publishAttempt) updateUniqueValues(ctx context.Context, removed, added []string) ([]platform.Write, error) {
	kind, name := publishAttempt.change.Kind, publishAttempt.change.Name
	var writes []platform.Write
	for _, value := range removed {
		writes = append(writes, platform.Write{Key: uniqueValueKey(kind, value), Action: platform.Delete})
	}
	for _, value := range added {
		items, err := publishAttempt.publisher.table.Get(ctx, uniqueValueKey(kind, value))
		if err != nil {
			return nil, err
		}
		row, err := platform.DecodeRow[uniqueValueRow](items[0])
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
		writes = append(writes, platform.PutIfUnchanged(items[0], uniqueValueRow{Holder: name}))
	}
	return writes, nil
}
