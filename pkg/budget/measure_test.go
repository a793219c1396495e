//go:build !race

package budget

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// The measurements run complete escrows in virtual time. To print the results:
//
//	go test ./pkg/budget -run TestMeasure -v -measure.seconds 120
var measureSeconds = flag.Int("measure.seconds", 6, "virtual seconds of each measurement")

const (
	measureRouters  = 9
	measureProfiles = 8
	// requestsPerSecond is the request rate of all routers together.
	requestsPerSecond = 60
	// Each request reserves requestReservationTokens and uses meanUsedTokens on
	// average.
	requestReservationTokens = 800
	meanUsedTokens           = 400
	// requestsPerKill is the number of requests between two killed routers.
	// leaseDuration is the time from a kill until the router's incarnation is
	// closed.
	requestsPerKill = 150
	leaseDuration   = 3 * time.Second
)

// scenario is a load with faults. The shares are fractions of the tokens that
// the load is expected to use.
type scenario struct {
	name       string
	limitShare float64
	// topUpShare is added to the limit halfway through the run.
	topUpShare       float64
	tableUnavailable bool
	partitionHalf    bool
	killRouters      bool
}

var scenarios = []scenario{
	{name: "a steady, skewed", limitShare: 20},
	{name: "b table down for half", limitShare: 20, tableUnavailable: true},
	{name: "c half cut off, top-up", limitShare: 0.6, topUpShare: 0.9, partitionHalf: true},
	{name: "d router killed", limitShare: 20, killRouters: true},
	{name: "e last 5%", limitShare: 0.05},
}

// fleet is a set of escrows that share one table.
type fleet struct {
	mutex        sync.Mutex
	table        *standin.Table
	ledger       *Ledger
	members      []*member
	random       *rand.Rand
	partitioned  bool
	startedCount int
	// usage is the actual usage by profile, to which the ledger is compared.
	usage  map[string]*profileUsage
	result measureResult
	calls  sync.WaitGroup
}

type profileUsage struct{ limitTokens, spentTokens, reservedTokens, expectedTokens int64 }

type member struct {
	fleet         *fleet
	name          string
	partitionSide int
	table         *standin.FaultyTable
	escrow        *Escrow
	dead          bool
	// lostTokens are the usage of requests that ended after the router was
	// killed and were not settled.
	lostTokens int64
}

type measureResult struct {
	requests, refused, falselyRefused, deaths      int
	strandedTokens, unspentTokens, overspentTokens int64
	writes                                         int
}

// Borrow asks the other routers on the same side of a network partition.
func (member *member) Borrow(ctx context.Context, request LoanRequest) (Loan, error) {
	for _, other := range member.fleet.liveMembers() {
		if other != member && (!member.fleet.isPartitioned() || other.partitionSide == member.partitionSide) {
			time.Sleep(time.Millisecond)
			if loan, err := other.escrow.Lend(ctx, request); err == nil {
				return loan, nil
			}
		}
	}
	return Loan{}, noSpareTokens(request)
}

func (fleet *fleet) isPartitioned() bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.partitioned
}

func (fleet *fleet) liveMembers() []*member {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var live []*member
	for _, member := range fleet.members {
		if !member.dead {
			live = append(live, member)
		}
	}
	return live
}

// startMember starts a router in a slot, in place of a killed one if any.
func (fleet *fleet) startMember(slot int, config EscrowConfig) {
	fleet.startedCount++
	member := &member{fleet: fleet, name: fmt.Sprintf("router-%d", fleet.startedCount), partitionSide: slot % 2}
	member.table = standin.NewFaultyTable(standin.FaultyTableConfig{Table: fleet.table, BeforeCall: func() { time.Sleep(3 * time.Millisecond) }})
	config.Table = member.table
	config.Incarnation = member.name
	if config.Policy != PolicyEqualShares {
		config.LoanClient = member
	}
	member.escrow = NewEscrow(config)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if slot < len(fleet.members) {
		fleet.members[slot] = member
		return
	}
	fleet.members = append(fleet.members, member)
}

func newFleet(routers, profiles int, seed uint64, limitShare float64, config EscrowConfig) *fleet {
	fleet := &fleet{table: standin.NewTable(), random: rand.New(rand.NewPCG(seed, 1)), usage: make(map[string]*profileUsage)}
	fleet.ledger = NewLedger(LedgerConfig{Table: fleet.table})
	for i := range profiles {
		name := fmt.Sprintf("profile-%d", i)
		expectedTokens := float64(requestsPerSecond*meanUsedTokens**measureSeconds) * weight(i, profiles)
		limit := int64(expectedTokens * limitShare)
		fleet.usage[name] = &profileUsage{limitTokens: limit, expectedTokens: int64(expectedTokens)}
		fleet.publish(configuration.KindProfile, name, fmt.Sprintf(`{"limit_tokens":%d}`, limit))
	}
	for slot := range routers {
		fleet.startMember(slot, config)
	}
	return fleet
}

// weight returns the fraction of the load that goes to profile i, proportional
// to 1/(i+1).
func weight(i, profiles int) float64 {
	var sum float64
	for j := range profiles {
		sum += 1 / float64(j+1)
	}
	return 1 / float64(i+1) / sum
}

func (fleet *fleet) publish(kind configuration.Kind, name, body string) {
	for {
		writes, err := fleet.ledger.ChangeWrites(context.Background(), configuration.Change{
			Kind: kind, Name: name, OperationID: "operation", Body: []byte(body),
		})
		if err == nil && fleet.table.Transact(context.Background(), platform.Transaction{Writes: writes}) == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// request runs one request at a router.
func (fleet *fleet) request(member *member, profile string, usedTokens int64, duration time.Duration) {
	reservation, err := member.escrow.Reserve(context.Background(), Demand{
		Profile: profile, RequestID: fmt.Sprint(profile, usedTokens, duration), Tokens: requestReservationTokens, Deadline: time.Now().Add(10 * time.Second),
	})
	fleet.mutex.Lock()
	usage := fleet.usage[profile]
	if err != nil {
		fleet.result.refused++
		if usage.limitTokens-usage.spentTokens-usage.reservedTokens >= requestReservationTokens {
			fleet.result.falselyRefused++
		}
		fleet.mutex.Unlock()
		return
	}
	usage.reservedTokens += requestReservationTokens
	fleet.mutex.Unlock()
	time.Sleep(duration)
	fleet.mutex.Lock()
	usage.reservedTokens -= requestReservationTokens
	usage.spentTokens += usedTokens
	fleet.result.overspentTokens = max(fleet.result.overspentTokens, usage.spentTokens-usage.limitTokens)
	dead := member.dead
	if dead {
		member.lostTokens += usedTokens
	}
	fleet.mutex.Unlock()
	if !dead {
		member.escrow.Settle(Settlement{Reservation: reservation, Lines: []Line{{Kind: LineBill, Tokens: usedTokens}}})
	}
}

// runLoad sends requests for measureSeconds. 80 % of the requests of a profile go
// to the same two routers, as in a fleet that ranks the routers by profile.
func (fleet *fleet) runLoad(profiles int, config EscrowConfig, killRouters bool) {
	end := time.Now().Add(time.Duration(*measureSeconds) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(fleet.random.ExpFloat64() * float64(time.Second) / requestsPerSecond))
		profile := fleet.drawProfile(profiles)
		slot := fleet.random.IntN(len(fleet.members))
		if fleet.random.IntN(10) < 8 {
			slot = (profile*2 + fleet.random.IntN(2)) % len(fleet.members)
		}
		usedTokens := int64(200 + fleet.random.IntN(401))
		duration := time.Duration(500+fleet.random.IntN(2500)) * time.Millisecond
		target := fleet.members[slot]
		fleet.result.requests++
		fleet.calls.Go(func() { fleet.request(target, fmt.Sprintf("profile-%d", profile), usedTokens, duration) })
		if killRouters && fleet.result.requests%requestsPerKill == 0 {
			fleet.kill(slot, config)
		}
	}
}

func (fleet *fleet) drawProfile(profiles int) int {
	draw := fleet.random.Float64()
	for i := range profiles {
		draw -= weight(i, profiles)
		if draw < 0 {
			return i
		}
	}
	return 0
}

// kill stops a router without shutdown and closes it after leaseDuration, when
// its lease has expired.
func (fleet *fleet) kill(slot int, config EscrowConfig) {
	fleet.mutex.Lock()
	killed := fleet.members[slot]
	killed.dead = true
	fleet.result.deaths++
	fleet.result.writes += killed.table.Counts().Transactions
	fleet.mutex.Unlock()
	killed.table.SetFaults(standin.TableFaults{Down: true})
	fleet.startMember(slot, config)
	fleet.calls.Go(func() {
		time.Sleep(leaseDuration)
		fleet.calls.Go(func() { _ = killed.escrow.Close(context.Background()) })
		_ = fleet.ledger.CloseIncarnation(context.Background(), killed.name)
	})
}

// injectFaults applies the faults of a scenario during the middle half of the
// run.
func (fleet *fleet) injectFaults(scenario scenario) {
	quarter := time.Duration(*measureSeconds) * time.Second / 4
	time.Sleep(quarter)
	fleet.mutex.Lock()
	fleet.partitioned = scenario.partitionHalf
	fleet.mutex.Unlock()
	for _, member := range fleet.liveMembers() {
		if scenario.tableUnavailable || scenario.partitionHalf && member.partitionSide == 1 {
			member.table.SetFaults(standin.TableFaults{Hang: true})
		}
	}
	time.Sleep(quarter)
	if scenario.topUpShare > 0 {
		for name, usage := range fleet.usage {
			addTokens := int64(scenario.topUpShare * float64(usage.expectedTokens))
			fleet.publish(configuration.KindLimit, name, fmt.Sprintf(`{"add_tokens":%d}`, addTokens))
			fleet.mutex.Lock()
			usage.limitTokens += addTokens
			fleet.mutex.Unlock()
		}
	}
	time.Sleep(quarter)
	fleet.mutex.Lock()
	fleet.partitioned = false
	fleet.mutex.Unlock()
	for _, member := range fleet.liveMembers() {
		member.table.SetFaults(standin.TableFaults{})
	}
}

// closeAll closes all routers and compares the statements with the actual
// usage.
func (fleet *fleet) closeAll(t *testing.T) measureResult {
	t.Helper()
	fleet.calls.Wait()
	for _, member := range fleet.liveMembers() {
		require.NoError(t, member.escrow.Close(context.Background()))
		fleet.result.writes += member.table.Counts().Transactions
	}
	for name, usage := range fleet.usage {
		statement, err := fleet.ledger.Statement(context.Background(), name)
		require.NoError(t, err)
		require.Equal(t, statement.LimitTokens, statement.FreeTokens+statement.SettledTokens)
		require.GreaterOrEqual(t, statement.SettledTokens, usage.spentTokens)
		require.LessOrEqual(t, statement.SettledTokens, usage.limitTokens)
		fleet.result.strandedTokens += statement.SettledTokens - usage.spentTokens
		fleet.result.unspentTokens += usage.limitTokens - usage.spentTokens
	}
	return fleet.result
}

func measure(t *testing.T, scenario scenario, config EscrowConfig, routers, profiles int) measureResult {
	t.Helper()
	var result measureResult
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(routers, profiles, 7, scenario.limitShare, config)
		fleet.calls.Go(func() { fleet.injectFaults(scenario) })
		fleet.runLoad(profiles, config, scenario.killRouters)
		result = fleet.closeAll(t)
	})
	require.LessOrEqual(t, result.overspentTokens, int64(0))
	return result
}

func TestMeasurePolicies(t *testing.T) {
	configs := map[string]EscrowConfig{
		"1 horizon 5 s":     {Policy: PolicyHorizon, Horizon: 5 * time.Second},
		"2 horizon 10 s":    {Policy: PolicyHorizon, Horizon: 10 * time.Second},
		"3 horizon 30 s":    {Policy: PolicyHorizon, Horizon: 30 * time.Second},
		"5 runway 10 s":     {Policy: PolicyRunway, Horizon: 10 * time.Second},
		"4 equal_shares /9": {Policy: PolicyEqualShares, RouterCount: measureRouters},
	}
	printTable(t, "scenario\tpolicy\trequests\trefused\tfalse\tdeaths\tstranded/death\tunspent\toverspent", func(writer *tabwriter.Writer) {
		for _, scenario := range scenarios {
			for _, name := range slices.Sorted(maps.Keys(configs)) {
				result := measure(t, scenario, configs[name], measureRouters, measureProfiles)
				fmt.Fprintf(writer, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", scenario.name, name[2:], result.requests, result.refused,
					result.falselyRefused, result.deaths, result.strandedTokens/int64(max(1, result.deaths)), result.unspentTokens, max(0, result.overspentTokens))
			}
		}
	})
}

func TestMeasureTableWrites(t *testing.T) {
	printTable(t, "routers\tprofiles\twrites/s/router\trequests/s/router", func(writer *tabwriter.Writer) {
		for _, size := range [][2]int{{3, 8}, {9, 8}, {27, 8}, {9, 32}, {9, 128}} {
			result := measure(t, scenarios[0], EscrowConfig{SettleInterval: time.Second}, size[0], size[1])
			seconds := float64(*measureSeconds * size[0])
			fmt.Fprintf(writer, "%d\t%d\t%.2f\t%.1f\n", size[0], size[1], float64(result.writes)/seconds, float64(result.requests)/seconds)
		}
	})
}

func printTable(t *testing.T, header string, rows func(writer *tabwriter.Writer)) {
	t.Helper()
	var output strings.Builder
	writer := tabwriter.NewWriter(&output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	rows(writer)
	_ = writer.Flush()
	t.Log("\n" + output.String())
}
