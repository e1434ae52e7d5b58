package lab

// Names of the users' protocol that the stand-ins need, in one place. A test of the project keeps them, as quoted strings, in the
// folders of the adapter, which the review may not change.
const (
	HeaderRequestID      = `Request-Id`
	HeaderDeadline       = `Deadline-Ms`
	HeaderTokenCount     = `Token-Count`
	HeaderSeal           = `Server-Seal`
	HeaderExpectInstance = `Expect-Instance`
	HeaderInstanceID     = `Instance-Id`
	HeaderNotRun         = `Not-Run`
	FieldPathPrefix      = `path_prefix`
	FieldMaxAttempts     = `max_attempts`
	FieldTargetLatency   = `target_latency_ms`
	FieldGapAim          = `gap_aim_ms`
	FieldAdapterSlots    = `adapter_slots`
	FieldAtHand          = `at_hand`
	FieldInMemory        = `in_memory`
	FieldOnDisk          = `on_disk`
	HeaderPromptPrefix   = `Prompt-Prefix`
)
