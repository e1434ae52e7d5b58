package host

// registerHedgeMetrics registers the metrics of hedged requests.
func (h *Host) registerHedgeMetrics() error { return nil }
