package sched

// chargeShare counts a granted request towards the share of its account.
func (s *State) chargeShare(*request) {}
