package edge

import "github.com/hornbeamdyke/hornbeamdyke/internal/router/place"

// recordSpeed logs and counts that an engine was found to be slow, or no longer.
func (nod *Node) recordSpeed(chg place.SpeedChange) {
	event := "engine_usual"
	if chg.Slow {
		event = "engine_slow"
	}
	nod.meter.Event(event)
	nod.options.Log.Info("engine speed changed", "Service", chg.Service, "Upstream", chg.Instance.ID, "Slow", chg.Slow,
		"TokensPerMs", chg.Rate, "MedianTokensPerMs", chg.Median)
}
