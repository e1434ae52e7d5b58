package host

// registerQuotaMetrics registers the metrics of quotas.
func (h *Host) registerQuotaMetrics() error { return nil }
