package host

// registerAccountMetrics registers the metrics of client accounts.
func (h *Host) registerAccountMetrics() error { return nil }
