package fleet

import "time"

// Deployment is what a process is told of the place that it runs at.
type Deployment struct {
	Host     string // name of this host
	Zone     string // availability zone
	CallerAddress  string // address for callers
	ReadyAddress    string // address of the readiness check
	PeerAddress    string // address for other hosts
	Seeds    []string
	StoreAddress    string // address of the platform's store
	MilliCores int    // thousandths of a core
	MemoryMB int
	LinkMbps float64 // bandwidth of this host's link, 0 if unknown

	FencingEnforced bool          // endpoints refuse orders with an old epoch
	LeaseTerm     time.Duration // least time between orders of two holders
	StopTimeout    time.Duration // from the signal to stop until the process is killed
	RetryRatio    float64       // repeats per request to a service
	RetryExtra    float64       // repeats beyond the ratio in a window
	RetryWindow   time.Duration
	LoadWindow    time.Duration // over which loads from the weight store are counted
	LoadRateFactor      float64       // factor on the rate of loads that the window allows
}
