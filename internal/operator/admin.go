package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/telemetry"
)

const (
	adminTimeout = 5 * time.Second
	maxAdminBody = 16 << 20
)

// ErrControl means that the control process did not answer.
var ErrControl = errors.New("control process unavailable")

// Admin reads the admin port of a control process.
type Admin struct {
	Address string // ip:port
	Token   string // operator token, empty for none
}

// Status is the answer of /v1/status that the tables show. Fields that a process does not send stay empty.
type Status struct {
	Host             string           `json:"host"`
	Zone             string           `json:"zone"`
	Revision         uint64           `json:"revision"`
	Dispatcher       string           `json:"dispatcher"`
	PlacementVersion uint64           `json:"placementVersion"`
	Lease            LeaseStatus      `json:"lease"`
	Members          []MemberStatus   `json:"members"`
	Endpoints        []EndpointStatus `json:"endpoints"`
}

// LeaseStatus is the cell's lease as the process knows it.
type LeaseStatus struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	Held   uint64 `json:"held"` // epoch that the asked process holds by its own clock, 0 for none
}

// MemberStatus is one host of the cell.
type MemberStatus struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Load     uint16 `json:"load"` // per mille
	Leaving  bool   `json:"leaving"`
}

// EndpointStatus is one endpoint with what it holds.
type EndpointStatus struct {
	Name      string `json:"endpoint"`
	Host      string `json:"host"`
	Leaving   bool   `json:"leaving"`
	Residents names  `json:"residents"`
	Intents   names  `json:"intents"`
	Reported  bool   `json:"reported"` // running and waiting come from a report of the last seconds
	Running   int    `json:"running"`  // requests in progress
	Waiting   int    `json:"waiting"`  // requests that wait in the engine
	Reason    string `json:"leavingReason,omitempty"`
}

// names accepts a list of names or of objects with a name.
type names []string

// UnmarshalJSON implements json.Unmarshaler.
func (n *names) UnmarshalJSON(b []byte) error {
	var list []json.RawMessage
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}
	*n = nil
	for _, raw := range list {
		var s string
		if json.Unmarshal(raw, &s) != nil {
			var o struct{ Name string }
			if err := json.Unmarshal(raw, &o); err != nil {
				return err
			}
			s = o.Name
		}
		*n = append(*n, s)
	}
	return nil
}

// Status returns the decoded status and the answer as sent.
func (a Admin) Status(ctx context.Context) (Status, json.RawMessage, error) {
	var s Status
	raw, err := a.get(ctx, "/v1/status", &s)
	return s, raw, err
}

// Explain returns the decisions about a request id, model or endpoint that the processes of the cell have kept.
func (a Admin) Explain(ctx context.Context, subject string) (telemetry.Explanation, error) {
	var out telemetry.Explanation
	_, err := a.get(ctx, "/v1/explain?subject="+url.QueryEscape(subject), &out)
	return out, err
}

func (a Admin) get(ctx context.Context, path string, v any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address+path, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if a.Token != "" {
		req.Header.Set("Authorization", "Bearer "+a.Token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrControl, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminBody))
	if err != nil || resp.StatusCode >= 500 {
		return nil, errors.Annotatef(ErrControl, "%s answered %s", a.Address, resp.Status)
	}
	if resp.StatusCode != http.StatusOK {
		var p struct{ Detail string }
		json.Unmarshal(body, &p) // another program may listen there and send no problem
		return nil, errors.Errorf("%s answered %s to %s: %s", a.Address, resp.Status, path, cmp.Or(p.Detail, "no detail"))
	}
	return body, errors.Annotatef(json.Unmarshal(body, v), "answer of %s to %s", a.Address, path)
}
