package synth

// bound holds a scenario's expectations at seed 1: the minimum number of completed
// programs and the maximum latency, wasted tokens and attempts. The maxima have a
// margin of 10%, 20% and 3% over the values in docs/POLICY.md.
type bound struct {
	completed  float64
	p95        float64 // milliseconds
	wasted     float64
	dispatched float64
}

var bounds = map[string]bound{
	"mafuta_day":          {186, 15600, 39000, 1430},
	"hotel_peak":          {288, 18600, 48000, 2040},
	"kexanh_day":          {131, 42700, 534000, 745},
	"supermarket_peak":    {236, 54500, 1424000, 1450},
	"domain_lost":         {186, 16000, 67000, 1430},
	"store_outage":        {244, 636800, 61000, 1885},
	"stale_load":          {151, 44500, 389000, 850},
	"event_gaps":          {131, 42900, 1353000, 745},
	"looping_program":     {72, 16100, 28000, 625},
	"hung_tool":           {156, 17200, 35000, 1225},
	"rolling_replacement": {118, 43800, 683000, 675},
	"hot_prefix":          {146, 18900, 513000, 610},
	"overload_3x":         {540, 52000, 325000, 1990},
}

// addTo adds the bounds to the trace's expectations.
func (b bound) addTo(g *builder) {
	g.atLeast("completed", b.completed)
	g.atMost("p95_ms", b.p95)
	g.atMost("wasted_tokens", b.wasted)
	g.atMost("dispatched", b.dispatched)
	if int(b.completed) < len(g.Programs) {
		return
	}
	// If all programs complete, the tokens spent are exactly those of their calls.
	spent := 0
	for _, p := range g.Programs {
		for _, c := range p.Calls {
			spent += c.Prompt + c.Output
		}
	}
	g.atLeast("spent_tokens", float64(spent))
	g.atMost("spent_tokens", float64(spent))
}
