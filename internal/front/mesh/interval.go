package mesh

import "time"

const (
	// minInterval is the shortest interval between datagrams to the same front: about half
	// of the time of a plain call.
	minInterval = 60 * time.Millisecond
	// intervalPerPeer extends the interval with the number of recipients, which limits the
	// datagrams that each front sends and receives to about 140 a second.
	// intervalPerHub is the same between hubs, 250 a second: hubs are few, and run on the
	// VMs with the most processor cores.
	intervalPerPeer = 7 * time.Millisecond
	intervalPerHub  = 4 * time.Millisecond
	// maxHubInterval bounds the interval between hubs: state passes through two of them.
	maxHubInterval = 100 * time.Millisecond
	// reportInterval is the interval between reports to a hub. State that passes through
	// hubs is as old as two report intervals and the hubs' interval in between: at most
	// 0.3 s with 24 hubs, half of that on average.
	reportInterval = 100 * time.Millisecond
	// SilenceTimeout is how long a share is valid, or silenceIntervals send intervals if that
	// is longer: so many datagrams in a row are hardly ever lost. With hubs hubSilenceTimeout
	// takes its place, in which the fronts of a failed hub have switched to another one.
	SilenceTimeout    = 900 * time.Millisecond
	silenceIntervals  = 3
	hubSilenceTimeout = 800 * time.Millisecond
)

// Interval is the time between ticks.
func (m *Mesh) Interval() time.Duration {
	if !m.isHub {
		return reportInterval
	}
	return m.hubInterval()
}

func (m *Mesh) hubInterval() time.Duration {
	each := intervalPerHub
	if m.fullMesh() {
		each = intervalPerPeer
	}
	interval := max(minInterval, time.Duration(len(m.targets))*each)
	if !m.fullMesh() {
		interval = min(interval, maxHubInterval)
	}
	return interval
}

// Age is the largest age of the state of other fronts.
func (m *Mesh) Age() time.Duration {
	if m.fullMesh() {
		return m.Interval()
	}
	return 2*reportInterval + m.hubInterval()
}

func (m *Mesh) silenceTimeout() time.Duration {
	least := SilenceTimeout
	if !m.fullMesh() {
		least = hubSilenceTimeout
	}
	return max(least, silenceIntervals*m.Interval())
}
