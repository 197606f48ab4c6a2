package frontd

import (
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// Guards against the gauge of an upstream that is gone and that keeps its last factor.
func TestFactorOfUpstreamThatIsGone(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	d := &Daemon{factorGauges: map[string]float64{"engine": 1.6}}
	d.Scope = scope
	d.reportFactors()
	is.Equal(scope.Snapshot().Gauges()["upstream_factor+upstream=engine"].Value(), 1.0)
}
