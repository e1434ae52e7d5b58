package host

import "sync"

// notifier wakes all goroutines that wait for a change. The zero value is ready to use.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// changed returns a channel that is closed at the next change. It has to be taken before the state is looked at.
func (n *notifier) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// notify tells of a change.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
