package host

// registerHeldBytesMetrics registers the metrics of the bytes that are held for slow readers.
func (h *Host) registerHeldBytesMetrics() error { return nil }
