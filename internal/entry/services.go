package entry

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

const defaultServiceTimeout = 30 * time.Second

// serviceCall is one request to a plain service with all its attempts.
type serviceCall struct {
	e          *Entry
	x          *exchange
	svc        *config.Service
	method     string
	target     string // path and query below the service's prefix
	body       []byte
	idempotent bool
	tried      map[string]bool
	held       upstream.Holding // the answer
}

// serviceAnswer is an answer that was received completely.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (e *Entry) service(ctx context.Context, x *exchange) {
	s := &serviceCall{e: e, x: x, svc: x.snap.Service(x.c.Param("service")), method: string(x.c.Method()), tried: make(map[string]bool)}
	s.held = e.held.NewWithin(upstream.HeldAnswer, x.caller.Name, e.opts.answerLimits())
	defer s.held.Release()
	if s.svc == nil || !mayUse(s.svc.Callers, x.caller.Name) {
		x.fail(refusal(http.StatusNotFound, "Unknown service", x.c.Param("service"), 0))
		return
	}
	var p *problem
	if s.body, p = x.body(e.opts.MaxBody); p != nil {
		x.fail(p)
		return
	}
	s.target = serviceTarget(string(x.c.Request.Header.RequestURI()), s.svc.Name)
	s.idempotent = isIdempotent(s.svc, s.method, x.c.Param("path"))
	timeout := s.svc.Timeout
	if timeout <= 0 {
		timeout = defaultServiceTimeout
	}
	if !s.idempotent {
		// The call goes on if the caller leaves, so that its outcome is known and recorded.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	key := string(x.c.GetHeader("Idempotency-Key"))
	if s.idempotent || key == "" {
		s.answer(s.run(ctx))
		return
	}
	s.keyed(ctx, key)
}

// serviceTarget returns what follows the service's prefix in a request URI, with its escapes as the caller sent them.
func serviceTarget(uri, service string) string {
	_, rest, _ := strings.Cut(uri, "/svc/")
	i := strings.IndexAny(rest, "/?")
	if i < 0 {
		return "/"
	}
	if rest[i] == '?' {
		return "/" + rest[i:]
	}
	return rest[i:]
}

// checkKey tells what is wrong with an idempotency key. Keys are opaque: two are equal only if all bytes are.
func checkKey(key string) error {
	if len(key) > maxKey {
		return errors.Errorf("key has %d bytes, at most %d are allowed", len(key), maxKey)
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return errors.Errorf("byte %d of the key is not printable ASCII", i+1)
		}
	}
	return nil
}

// keyed claims the idempotency key before the request is sent, and records how it ended.
func (s *serviceCall) keyed(ctx context.Context, key string) {
	if err := checkKey(key); err != nil {
		s.x.fail(refusal(http.StatusBadRequest, "Malformed idempotency key", err.Error(), 0))
		return
	}
	claim := wire.ClaimRequest{Caller: s.x.caller.Name, Key: key, Attempt: uuid.NewString(), Fingerprint: s.fingerprint()}
	reply := s.e.claims.Claim(ctx, claim)
	s.noteClaim(reply)
	if p := claimProblem(reply); p != nil {
		s.x.fail(p)
		return
	}
	ans, outcome, err := s.run(ctx)
	result := wire.ClaimResult{Caller: claim.Caller, Key: key, Attempt: claim.Attempt, Outcome: uint8(outcome)}
	if ans != nil {
		result.Status = uint16(ans.status)
	}
	s.e.claims.Finish(result)
	s.answer(ans, outcome, err)
}

// noteClaim records how the claim of the idempotency key was decided. The key itself stays out of the journal.
func (s *serviceCall) noteClaim(r wire.ClaimReply) {
	reason := map[wire.ClaimState]string{
		wire.ClaimGranted: "granted", wire.ClaimTaken: "key already used", wire.ClaimMismatch: "key used with a different request",
		wire.ClaimUnavailable: "key can't be recorded",
	}[r.State]
	s.x.note(s.e.observer, "claim", reason, s.svc.Name, "")
}

// fingerprint identifies the request that a key belongs to.
func (s *serviceCall) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{s.svc.Name, s.method, s.target} {
		h.WriteString(part)
		h.Write([]byte{0})
	}
	h.Write(s.body)
	return h.Sum64()
}

// claimProblem returns the answer to a request whose key was not granted, or nil.
func claimProblem(r wire.ClaimReply) *problem {
	switch r.State {
	case wire.ClaimGranted:
		return nil
	case wire.ClaimTaken:
		p := refusal(http.StatusConflict, "Idempotency key already used", "The outcome is that of the first request with the key.", 0)
		p.Executed, p.RecordedStatus = attempt.Outcome(r.Outcome).Executed(), r.Status
		return p
	case wire.ClaimMismatch:
		return refusal(http.StatusUnprocessableEntity, "Idempotency key used with a different request", "", 0)
	}
	after := time.Duration(r.RetryAfterMs) * time.Millisecond
	return refusal(http.StatusServiceUnavailable, "Idempotency key can't be recorded at present", "", max(after, defaultRetryAfter))
}

// run makes attempts until one is answered or no further one is safe. The outcome is that of all attempts.
func (s *serviceCall) run(ctx context.Context) (*serviceAnswer, attempt.Outcome, error) {
	s.e.retries.first()
	deadline, _ := ctx.Deadline()
	var outcome attempt.Outcome
	var last error
	for n := 0; ; n++ {
		ep := s.next()
		if ep == nil {
			if last == nil {
				last = errors.New("no endpoint of the service takes work")
			}
			return nil, attempt.Combine(outcome, attempt.NotSent), last
		}
		ans, o, err := s.once(ctx, ep)
		outcome = attempt.Combine(outcome, o)
		if err == nil {
			return ans, outcome, nil
		}
		last = err
		s.e.opts.Log.Debug().Str("request", s.x.id).Str("endpoint", ep.Name).Str("outcome", o.String()).Err(err).Msg("Service attempt failed.")
		if !o.MayRetry(s.idempotent) || !s.e.retries.take() || !backoff(ctx, n, deadline) {
			return nil, outcome, last
		}
		s.x.series.Retry()
		s.x.note(s.e.observer, "retry", err.Error(), s.svc.Name, ep.Name)
	}
}

// next returns an endpoint of the service that takes new work and was not tried yet, or nil.
func (s *serviceCall) next() *config.ServiceEndpoint {
	v := s.e.view.Load()
	svc := v.Snapshot.Service(s.svc.Name)
	if svc == nil {
		return nil
	}
	start := int(s.e.serviceTurn.Add(1))
	for i := range svc.Endpoints {
		ep := &svc.Endpoints[(start+i)%len(svc.Endpoints)]
		if !ep.Leaving && !v.Leaving[ep.Name] && !s.tried[ep.Name] {
			s.tried[ep.Name] = true
			return ep
		}
	}
	return nil
}

// once sends the request to one endpoint on a connection of its own: net/http may send a request again on a kept
// connection, and a late answer to another request could arrive there, which a service that returns no request id would
// not reveal.
func (s *serviceCall) once(ctx context.Context, ep *config.ServiceEndpoint) (*serviceAnswer, attempt.Outcome, error) {
	var trace attempt.Trace
	req, err := http.NewRequestWithContext(trace.NewContext(ctx), s.method, "http://"+ep.Address+s.target, bytes.NewReader(s.body))
	if err != nil {
		return nil, attempt.NotSent, err
	}
	copyRequestHeaders(s.x.c, req.Header)
	req.Header.Set("X-Request-Id", s.x.id)
	req.Header.Set("X-Caller", s.x.caller.Name)
	resp, err := s.e.outbound.fresh.RoundTrip(req)
	if err != nil {
		return nil, trace.FailureOutcome(), err
	}
	defer resp.Body.Close()
	if got := resp.Header.Get("X-Request-Id"); got != "" && got != s.x.id {
		return nil, attempt.Unknown, errors.Errorf("answer carries request id %.64q, want %q", got, s.x.id)
	}
	s.held.Release() // an attempt before has kept nothing
	body, more, _, err := upstream.ReadWithin(resp.Body, resp.ContentLength, s.e.opts.MaxAnswer, &s.held)
	switch {
	case err != nil:
		return nil, attempt.Unknown, err
	case len(body) > s.e.opts.MaxAnswer:
		return nil, attempt.Unknown, errors.Errorf("answer is longer than %d bytes", s.e.opts.MaxAnswer)
	case more:
		return nil, attempt.Unknown, errors.Errorf("no memory for more than %d bytes of the answer", len(body))
	}
	return &serviceAnswer{status: resp.StatusCode, header: resp.Header, body: body}, attempt.Answered, nil
}

// answer sends the endpoint's answer, or a problem that tells whether the request may have been executed.
func (s *serviceCall) answer(ans *serviceAnswer, o attempt.Outcome, err error) {
	if ans == nil {
		status := http.StatusBadGateway
		switch {
		case o.NotExecuted():
			status = http.StatusServiceUnavailable
		case errors.Is(err, context.DeadlineExceeded):
			status = http.StatusGatewayTimeout
		}
		retry := defaultRetryAfter
		if !o.MayRetry(s.idempotent) {
			retry = 0
		}
		s.x.note(s.e.observer, "failed", err.Error(), s.svc.Name, "")
		s.x.fail(newProblem(status, "Service failed", err.Error(), o, retry))
		return
	}
	c := s.x.c
	c.Response.Header.SetNoDefaultContentType(true)
	copyAnswerHeaders(ans.header, &c.Response.Header)
	c.Response.Header.Set("X-Request-Id", s.x.id)
	c.Status(ans.status)
	if s.method == http.MethodHead {
		c.Response.SkipBody = true
		return
	}
	c.Response.SetBody(ans.body)
}
