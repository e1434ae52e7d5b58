package sched

// askSpeculative decides a request whose first attempt is still in progress.
func (s *State) askSpeculative(r *request) { s.refuse(r, "hedged requests are not enabled", 0) }
