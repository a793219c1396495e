package allowance

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// defaultMaxSliceBytes is the size above which a slice's row leaves out shares. The
	// table takes rows of 64 KB.
	defaultMaxSliceBytes = 48 << 10
	// foldAge is how long a holder must not have exchanged before its share is left
	// out: several times as long as a copy of the table may be old.
	foldAge = time.Minute
)

// HolderAccount is what a slice states of one team at one holder. Amounts are
// tokens, Demand is in tokens a second.
type HolderAccount struct {
	_       struct{} `cbor:",toarray"`
	Granted int64    `json:"g"`
	Charged int64    `json:"c"`
	Demand  int64    `json:"d,omitempty"`
	// Base is the holder's Terms.Base.
	Base int64 `json:"b,omitempty"`
}

// maxCharged returns the estimate of what the holder has charged when elapsed has
// passed, if its later rows are lost. Its spend rate may have been changed by them.
func (account HolderAccount) maxCharged(elapsed time.Duration) int64 {
	return account.Charged + account.mayHaveTaken(elapsed)
}

// mayHaveTaken returns the estimate of what the holder may have taken from the pool
// in the given time.
func (account HolderAccount) mayHaveTaken(duration time.Duration) int64 {
	return account.Base + int64(rateFactor*float64(account.Demand)*max(duration, 0).Seconds())
}

func (account HolderAccount) minus(other HolderAccount) HolderAccount {
	return HolderAccount{
		Granted: account.Granted - other.Granted, Charged: account.Charged - other.Charged, Demand: account.Demand - other.Demand,
	}
}

// HolderShare is what a slice states of one holder.
type HolderShare struct {
	_ struct{} `cbor:",toarray"`
	// Era is the era in which the holder wrote the share. Until it has written it in
	// the era of the slice, the holder has not declared its grants.
	Era uint64 `json:"era,omitempty"`
	// Stamp is the time of the table's clock of the holder's last exchange.
	Stamp time.Duration            `json:"at"`
	Teams map[string]HolderAccount `json:"teams"`
}

func (share HolderShare) isNewerThan(other HolderShare) bool {
	return share.Era > other.Era || share.Era == other.Era && share.Stamp > other.Stamp
}

// rememberedSlice is a slice as a holder read or wrote it before a restore.
type rememberedSlice struct {
	Slice
	era uint64
	// knownAt is the time of the table's clock at which the slice was known to be
	// up to date.
	knownAt time.Duration
}

// continueIn makes a slice of the era copiedEra one of the present era. Holders may
// have changed their grants between the last known exchange and enteredAt, the time
// of the table's clock at which the restore was known. The last exchange in any slice
// of the copy shows how old the copy is at most.
func (slice *Slice) continueIn(copiedEra uint64, lastExchange, enteredAt time.Duration) {
	carriedOver := time.Duration(0)
	for _, share := range slice.Holders {
		if share.Era < copiedEra {
			carriedOver = slice.UnknownFor
		}
	}
	slice.CopiedEra, slice.KnownUntil, slice.ContinuedAt = copiedEra, lastExchange, enteredAt
	slice.UnknownFor = carriedOver + max(enteredAt-lastExchange, 0)
}

// hasUndeclared reports whether a holder has not declared its grants in the era.
func (slice *Slice) hasUndeclared(era uint64) bool {
	for _, share := range slice.Holders {
		if share.Era < era {
			return true
		}
	}
	return false
}

// hasDeclared reports whether a holder has declared its grants in the era.
func (slice *Slice) hasDeclared(era uint64) bool {
	for _, share := range slice.Holders {
		if share.Era == era {
			return true
		}
	}
	return false
}

// complete replaces the shares of holders that have not declared theirs by the
// remembered ones if these are newer. The slice was remembered in the era of the copy,
// or in a later one that is undone as a whole.
func (slice *Slice) complete(era uint64, remembered *rememberedSlice) {
	if remembered == nil || remembered.era < slice.CopiedEra || remembered.knownAt <= slice.KnownUntil {
		return
	}
	for name, share := range remembered.Holders {
		current, ok := slice.Holders[name]
		if !ok && slice.Folded {
			continue // the sums may include a part of it
		}
		if current.Era < era && share.isNewerThan(current) {
			slice.setShare(name, share)
		}
	}
	if remembered.era > slice.CopiedEra {
		slice.UnknownFor = max(slice.ContinuedAt-remembered.knownAt, 0)
		if remembered.hasUndeclared(remembered.era) {
			slice.UnknownFor += remembered.UnknownFor
		}
	} else {
		slice.UnknownFor = max(slice.UnknownFor-(remembered.knownAt-slice.KnownUntil), 0)
	}
	slice.CopiedEra, slice.KnownUntil = remembered.era, remembered.knownAt
}

// setShare replaces a holder's share and changes the sums accordingly.
func (slice *Slice) setShare(name string, share HolderShare) {
	slice.replaceShare(name, slice.Holders[name], share)
}

// replaceShare sets a holder's share in place of previous, which the sums include.
func (slice *Slice) replaceShare(name string, previous, share HolderShare) {
	for team := range previous.Teams {
		if _, ok := share.Teams[team]; !ok {
			slice.add(team, HolderAccount{}.minus(previous.Teams[team]))
		}
	}
	for team, account := range share.Teams {
		slice.add(team, account.minus(previous.Teams[team]))
	}
	if slice.Holders == nil {
		slice.Holders = make(map[string]HolderShare)
	}
	slice.Holders[name] = share
}

func (slice *Slice) add(team string, difference HolderAccount) {
	if difference == (HolderAccount{}) {
		return
	}
	sum := slice.Teams[team]
	sum.Granted += difference.Granted
	sum.Charged += difference.Charged
	sum.Demand += difference.Demand
	slice.Teams[team] = sum
}

// fold leaves the shares of holders that have not exchanged for foldAge out of
// Holders, the oldest first, until the slice has at most maxBytes. The sums still
// include them. It returns the names of these holders, and folds none while a holder
// has not declared its grants after a restore.
func (slice *Slice) fold(ownName string, era uint64, now time.Duration, maxBytes int) []string {
	excess := len(encode(*slice)) - maxBytes
	if excess <= 0 || slice.hasUndeclared(era) {
		return nil
	}
	names := slices.SortedFunc(maps.Keys(slice.Holders), func(a, b string) int {
		return cmp.Or(cmp.Compare(slice.Holders[a].Stamp, slice.Holders[b].Stamp), strings.Compare(a, b))
	})
	var folded []string
	for _, name := range names {
		share := slice.Holders[name]
		if excess <= 0 || now-share.Stamp < foldAge {
			break
		}
		if name == ownName {
			continue
		}
		excess -= len(encode(share)) + len(name)
		delete(slice.Holders, name)
		slice.Folded = true
		folded = append(folded, name)
	}
	return folded
}

// withBases returns the share with the bases of the holder's row, without teams of
// which there is nothing to state.
func (share HolderShare) withBases(row HolderRow) HolderShare {
	teams := make(map[string]HolderAccount, len(share.Teams))
	for team, account := range share.Teams {
		account.Base = row.Teams[team].Base
		if account != (HolderAccount{}) {
			teams[team] = account
		}
	}
	share.Teams = teams
	return share
}

// reserved returns the tokens that are kept back for holders that have not declared
// their grants in the era.
func (slice *Slice) reserved(team string, era uint64) int64 {
	total := int64(0)
	for _, share := range slice.Holders {
		if account, ok := share.Teams[team]; ok && share.Era < era {
			total += account.mayHaveTaken(slice.UnknownFor)
		}
	}
	return total
}
