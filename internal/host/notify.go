package host

import "sync"

// notifier wakes all goroutines that wait for a change. The zero value is ready for use.
type notifier struct {
	mu sync.Mutex
	ch chan struct{} // nil if nobody waits
}

// changed returns a channel that is closed at the next change. Callers get the channel before they look at the state,
// so that they miss no change.
func (n *notifier) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// notify wakes the goroutines that wait on the channel from changed.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
