package bed

// Names of the users' protocol that the stand-ins of the cases need. A test of the project keeps them, as quoted strings, in the
// folders of the adapter, which the review may not change.
const (
	HeaderRequestID      = `Request-Id`
	HeaderSeal           = `Server-Seal`
	HeaderExpectInstance = `Expect-Instance`
	HeaderInstanceID     = `Instance-Id`
	HeaderNotRun         = `Not-Run`
	FieldPathPrefix      = `path_prefix`
	FieldTargetLatency   = `target_latency_ms`
	FieldMaxAttempts     = `max_attempts`
	FieldGapAim          = `gap_aim_ms`
	FieldAdapterSlots    = `adapter_slots`
)
