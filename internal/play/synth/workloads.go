package synth

import (
	"fmt"

	"github.com/slaterock/slaterock/internal/play/trace"
)

var (
	darEsSalaam = []string{"kariakoo", "mikocheni", "temeke", "ubungo"}
	hoChiMinh   = []string{"district-1", "district-7", "thu-duc"}
)

func (g *builder) addEngines(n int, domains []string, cacheTokens int) {
	for i := range n {
		g.Upstreams = append(g.Upstreams, trace.Upstream{
			Name: fmt.Sprintf("agent-%02d", i), Group: "agent", FailureDomain: domains[i%len(domains)],
			Slots: 6, PrefillPerS: 7000, DecodeMS: 18, BatchSlope: 0.06, CacheTokens: cacheTokens, ReportMS: 1000, LagMS: 800,
		})
	}
}

func (g *builder) addServices(group string, n int, domains []string, services ...trace.Service) {
	for i := range n {
		g.Upstreams = append(g.Upstreams, trace.Upstream{
			Name: fmt.Sprintf("%s-%02d", group, i), Group: group, FailureDomain: domains[i%len(domains)],
			Service: true, Slots: 8, ReportMS: 1000, LagMS: 800,
		})
	}
	for _, s := range services {
		s.Group, s.TimeoutMS = group, 10_000
		g.Services = append(g.Services, s)
	}
}

// mafutaFleet adds the upstreams and weights of Mafuta Mzunguko, which gives
// latency more weight than cache use.
func (g *builder) mafutaFleet() {
	g.Header.LatencyWeight, g.Header.CacheWeight = 2, 1
	g.addEngines(10, darEsSalaam, 60_000)
	g.addServices("ledger", 10, darEsSalaam,
		trace.Service{Name: "drum_log", Idempotent: true, Hedge: true}, trace.Service{Name: "receipt"}, trace.Service{Name: "payment"})
}

func (g *builder) mafuta(perSecond, seconds float64) {
	g.mafutaFleet()
	g.arrivals(perSecond, seconds, func(at int64) {
		if g.rng.IntN(3) == 0 {
			g.rider(at)
		} else {
			g.kitchen(at, fmt.Sprintf("kitchen-%d", g.rng.IntN(400)))
		}
	})
}

// kitchen adds a program: a conversation with a kitchen manager that ends with a
// receipt for the pickup.
func (g *builder) kitchen(at int64, account string) {
	var calls []trace.Call
	for range g.uniform(interval{3, 7}) {
		calls = append(calls, trace.Call{Prompt: g.uniform(interval{60, 250}), Output: g.uniform(interval{40, 160}), PauseMS: g.pause(interval{20, 90})})
	}
	calls = append(calls, trace.Call{Service: "receipt", WorkMS: int64(g.uniform(interval{60, 250}))})
	g.add(trace.Program{AtMS: at, Account: account, Context: "kitchen", ContextTokens: 1800, Budget: 30_000, Calls: calls})
}

// rider adds a program that guides a collection round: a drum is weighed and
// logged at each stop, and a payment ends the round.
func (g *builder) rider(at int64) {
	var calls []trace.Call
	for range g.uniform(interval{3, 6}) {
		calls = append(calls,
			trace.Call{Prompt: g.uniform(interval{40, 150}), Output: g.uniform(interval{30, 100}), PauseMS: g.pause(interval{30, 80})},
			trace.Call{Service: "drum_log", WorkMS: int64(g.uniform(interval{40, 200}))})
	}
	calls = append(calls, trace.Call{Service: "payment", WorkMS: int64(g.uniform(interval{100, 400}))})
	g.add(trace.Program{
		AtMS: at, Account: fmt.Sprintf("rider-%d", g.rng.IntN(40)), Priority: 1,
		Context: "rider", ContextTokens: 1200, Budget: 30_000, Calls: calls,
	})
}

// hotels is the peak of mafuta's deployment when all kitchens of a hotel chain close
// at the same hour: half of the programs are kitchens of the chain, a quarter are
// riders and a quarter other kitchens.
func (g *builder) hotels(perSecond, seconds float64) {
	g.mafutaFleet()
	g.arrivals(perSecond/2, seconds, func(at int64) { g.kitchen(at, "hotel-chain") })
	g.arrivals(perSecond/2, seconds, func(at int64) {
		if g.rng.IntN(2) == 0 {
			g.rider(at)
		} else {
			g.kitchen(at, fmt.Sprintf("kitchen-%d", g.rng.IntN(400)))
		}
	})
}

// kexanhFleet adds the upstreams and weights of Kệ Xanh, which gives cache use
// more weight than latency.
func (g *builder) kexanhFleet() {
	g.Header.LatencyWeight, g.Header.CacheWeight = 1, 2
	g.addEngines(20, hoChiMinh, 150_000)
	g.addServices("planogram", 20, hoChiMinh,
		trace.Service{Name: "sheet", Idempotent: true, Hedge: true}, trace.Service{Name: "reprint"}, trace.Service{Name: "push"})
}

func (g *builder) kexanh(perSecond, seconds float64) {
	g.kexanhFleet()
	g.arrivals(perSecond, seconds, func(at int64) {
		store := g.zipf(24)
		account := fmt.Sprintf("chain-%d", store%6)
		if g.rng.IntN(2) == 0 {
			g.layout(at, account, store)
		} else {
			g.compliance(at, account, store)
		}
	})
}

// layout adds a program that plans a store's shelves for a category manager.
func (g *builder) layout(at int64, account string, store int) {
	calls := []trace.Call{{Service: "sheet", WorkMS: int64(g.uniform(interval{50, 300}))}}
	for range g.uniform(interval{3, 7}) {
		calls = append(calls, trace.Call{Prompt: g.uniform(interval{200, 900}), Output: g.uniform(interval{150, 450}), PauseMS: g.pause(interval{20, 100})})
	}
	calls = append(calls, trace.Call{Service: "reprint", WorkMS: int64(g.uniform(interval{80, 300}))})
	g.add(trace.Program{AtMS: at, Account: account, Context: fmt.Sprint("store-", store), ContextTokens: contextTokens(store), Budget: 60_000, Calls: calls})
}

// compliance adds a program that checks shelf photos and pushes tasks to
// merchandisers.
func (g *builder) compliance(at int64, account string, store int) {
	var calls []trace.Call
	for range g.uniform(interval{2, 4}) {
		calls = append(calls, trace.Call{Prompt: g.uniform(interval{400, 1500}), Output: g.uniform(interval{80, 250}), PauseMS: g.pause(interval{10, 60})})
	}
	calls = append(calls, trace.Call{Service: "push", WorkMS: int64(g.uniform(interval{50, 200}))})
	g.add(trace.Program{AtMS: at, Account: account, Priority: 1, Context: fmt.Sprint("store-", store), ContextTokens: contextTokens(store), Budget: 60_000, Calls: calls})
}

// contextTokens returns the size of a store's context: 14,000 to 30,000 tokens,
// spread over the stores.
func contextTokens(store int) int { return 14_000 + 1000*(store*7%17) }

// supermarket is the kexanh workload at a peak: one chain plans all its stores
// before a holiday.
func (g *builder) supermarket(perSecond, seconds float64) {
	g.kexanhFleet()
	g.arrivals(perSecond*0.7, seconds, func(at int64) { g.layout(at, "chain-0", 6*g.rng.IntN(4)) })
	g.arrivals(perSecond*0.3, seconds, func(at int64) {
		store := g.zipf(24)
		g.compliance(at, fmt.Sprintf("chain-%d", store%6), store)
	})
}

// addLoopingPrograms adds programs that never end by themselves: one is stopped by
// its budget, one by its turn limit and one by its caller.
func (g *builder) addLoopingPrograms() {
	loop := []trace.Call{{Prompt: 100, Output: 80, PauseMS: 100}}
	at := int64(5000)
	for _, p := range []struct {
		trace.Program
		outcome string
	}{
		{trace.Program{Budget: 5000}, "budget_exceeded"},
		{trace.Program{MaxTurns: 12}, "turn_limit"},
		{trace.Program{CancelMS: 20_000}, "cancelled"},
	} {
		p.AtMS, p.Account, p.Loop, p.Calls = at, "looper", true, loop
		p.Context, p.ContextTokens = "kitchen", 1800
		g.add(p.Program)
		g.Expects = append(g.Expects, trace.Expect{Program: g.Programs[len(g.Programs)-1].Name, Outcome: p.outcome})
		at += 1000
	}
}

// hotPrefix is a workload in which four of five programs share one store's
// context.
func (g *builder) hotPrefix() {
	g.kexanhFleet()
	g.arrivals(2, 80, func(at int64) {
		store := 0
		if g.rng.IntN(5) == 0 {
			store = 1 + g.rng.IntN(23)
		}
		g.compliance(at, fmt.Sprintf("chain-%d", store%6), store)
	})
}

// overload is a workload of short programs from thousands of accounts, at the
// given multiple of the rate that the engines can serve. Callers give up after a
// minute.
func (g *builder) overload(times, seconds float64) {
	const capacity = 9.0 // programs per second that mafutaFleet's engines can serve; see docs/design/overload.md
	g.mafutaFleet()
	g.Header.QueueWaitMS, g.Header.DeadlineMS, g.Header.MaxRetries = 5000, 60_000, 3
	g.arrivals(times*capacity, seconds, func(at int64) {
		var calls []trace.Call
		for range 3 {
			calls = append(calls, trace.Call{Prompt: g.uniform(interval{60, 250}), Output: g.uniform(interval{40, 160}), PauseMS: g.pause(interval{5, 20})})
		}
		g.add(trace.Program{
			AtMS: at, Account: fmt.Sprintf("a%d", g.rng.IntN(35_000)),
			Context: "kitchen", ContextTokens: 1800, Calls: calls,
		})
	})
}
