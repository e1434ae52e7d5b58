package fleet

import "time"

// Deployment holds what the platform tells a host process about its machine and its surroundings.
type Deployment struct {
	Host          string   // name of this host
	Zone          string   // availability zone of this host
	CallerAddress string   // listen address for callers
	ReadyAddress  string   // listen address of the readiness check
	PeerAddress   string   // listen address for other hosts
	Seeds         []string // addresses of hosts to ask for their view if the store does not answer at the start
	StoreAddress  string   // address of the platform's store
	MilliCores    int      // processor time of this host, in thousandths of a core
	MemoryMB      int
	LinkMbps      float64 // bandwidth of this host's link, 0 if unknown

	FencingEnforced bool          // endpoints refuse orders with an old epoch
	ChangeBound     time.Duration // time in which a change in the store has to be in force on all hosts, 0 if unknown
	LeaseTerm       time.Duration // least time between orders of two successive holders
	StopTimeout     time.Duration // time from the signal to stop until the process is killed
	RetryRatio      float64       // retries allowed per request to a service
	RetryExtra      float64       // retries allowed in a window beyond the ratio
	RetryWindow     time.Duration // window over which retries are counted
	QuotaWindow     time.Duration // window over which the quotas of accounts are checked, 0 if the deployment has none
	QuotaTolerance  float64       // share by which a quota may be exceeded in a window
	QuotaSlack      float64       // units by which it may be exceeded in addition
	LoadWindow      time.Duration // window over which loads from the weight store are counted
	LoadRateFactor  float64       // factor on the rate of loads that a window allows
}
