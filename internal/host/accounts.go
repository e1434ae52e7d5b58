package host

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
)

const (
	// maxAccountSeries is the number of accounts with metrics of their own. A configuration may have any number of accounts.
	maxAccountSeries = 100
	otherAccounts    = "other" // account attribute of all further accounts
	// unreadBodyTime bounds how long the body of a rejected request is read. Callers that send the whole body before they read
	// the response would otherwise get a connection reset instead of the response.
	unreadBodyTime = 500 * time.Millisecond
)

// authenticate determines the account of a request by the configuration in force at its arrival. It returns false if the
// request needs a valid key and has none.
func authenticate(q *fleet.Request, cfg *fleet.Config) bool {
	if cfg.Accounts == nil {
		return true
	}
	q.Authenticated = true
	if len(q.Keys) == 1 {
		q.Account = cfg.Accounts.ByKey(q.Keys[0])
	}
	return q.Account != nil || q.Route.Public
}

// rejectKey responds with status 401 to a request without a valid key. It must not keep the connection open if the request has
// a body: net/http would read the body before it sends the response, and wait for a caller that doesn't send it.
func (f *front) rejectKey(x *exchange, r *http.Request) {
	header := x.w.Header()
	reason := f.h.opts.Codec.KeyHint(header, len(x.q.Keys))
	f.accountCounts.rejectKey(len(x.q.Keys))
	hasBody := r.Body != nil && r.Body != http.NoBody
	if hasBody {
		header.Set("Connection", "close")
	}
	// With its length, the response is complete for the caller while the body is still being read.
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	f.h.opts.Codec.OwnAnswer(header, x.q.ID, 0)
	x.w.WriteHeader(http.StatusUnauthorized)
	_, err := io.WriteString(x.w, reason+"\n")
	x.logEnd("own answer", http.StatusUnauthorized, errors.New(reason))
	rc := http.NewResponseController(x.w)
	if !hasBody || err != nil || rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(unreadBodyTime)) != nil {
		return
	}
	f.inFlight.Add(-1) // callers without a key must not use up the bound on requests in progress by sending bodies slowly
	defer f.inFlight.Add(1)
	_, _ = io.CopyN(io.Discard, r.Body, f.limits().BodyBytes) // the connection is closed however the body ends
}

// accountOutcome is the outcome of a request in the metrics of accounts.
type accountOutcome uint8

const (
	accountServed    accountOutcome = iota
	accountOverLimit                // refused because the account was over its limit
	accountRefused                  // refused for another reason, it has not run
	accountFailed                   // ended with an error and may have run
	accountLeft                     // the caller disconnected
	numAccountOutcomes
)

var accountOutcomeNames = [numAccountOutcomes]string{"served", "over limit", "refused", "failed", "caller left"}

// accountOutcomeOf returns the outcome of a request. status is that of its response, 0 if there is none. delivered is true if
// the response is a whole one of an endpoint. left is true if the caller disconnected before the end.
func accountOutcomeOf(status int, delivered, left bool) accountOutcome {
	switch {
	case delivered && status < 500:
		return accountServed
	case left:
		return accountLeft
	case status == http.StatusTooManyRequests:
		return accountOverLimit
	case status == http.StatusServiceUnavailable || status >= 400 && status < 500:
		return accountRefused
	}
	return accountFailed
}

// keyProblems are the reasons for a response with status 401, by the number of keys in the request.
var keyProblems = [...]string{"missing", "unknown", "repeated"}

// accountValue returns the value of an account in a map of values for the metrics. The first most accounts have values of their
// own, the others share that of otherAccounts.
func accountValue[V any](byAccount *map[string]*V, account string, most int) *V {
	v := (*byAccount)[account]
	if v == nil && len(*byAccount) >= most {
		account = otherAccounts
		v = (*byAccount)[account]
	}
	if v == nil {
		if *byAccount == nil {
			*byAccount = make(map[string]*V)
		}
		v = new(V)
		(*byAccount)[account] = v
	}
	return v
}

// accountCounts counts requests by account and outcome, and those without a valid key.
type accountCounts struct {
	mu        sync.Mutex
	byAccount map[string]*[numAccountOutcomes]uint64
	keys      [len(keyProblems)]uint64
}

// add counts a request of an account. The first maxAccountSeries accounts have counts of their own.
func (c *accountCounts) add(account string, o accountOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accountValue(&c.byAccount, account, maxAccountSeries)[o]++
}

// rejectKey counts a response with status 401 to a request with the given number of keys.
func (c *accountCounts) rejectKey(sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[min(sent, len(c.keys)-1)]++
}

// requests returns the counts by account and outcome for the metrics.
func (c *accountCounts) requests() []telemetry.AttributedCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []telemetry.AttributedCount
	for _, account := range slices.Sorted(maps.Keys(c.byAccount)) {
		for o, n := range c.byAccount[account] {
			if n > 0 {
				out = append(out, telemetry.AttributedCount{Attributes: map[string]string{"account": account, "outcome": accountOutcomeNames[o]}, Count: n})
			}
		}
	}
	return out
}

// keyRejections returns the counts of responses with status 401 for the metrics.
func (c *accountCounts) keyRejections() []telemetry.AttributedCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]telemetry.AttributedCount, 0, len(keyProblems))
	for i, n := range c.keys {
		out = append(out, telemetry.AttributedCount{Attributes: map[string]string{"key": keyProblems[i]}, Count: n})
	}
	return out
}

// registerAccountMetrics registers the metrics of client accounts.
func (h *Host) registerAccountMetrics() error {
	m, c := h.opts.Metrics, &h.front.accountCounts
	if err := m.AttributedCounter("sycamore.account.requests", "Requests of client accounts, by outcome.", c.requests); err != nil {
		return err
	}
	return m.AttributedCounter("sycamore.keys.rejected", "Requests rejected for their key.", c.keyRejections)
}

// statusWriter remembers the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 && status >= 200 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
