package adminhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
)

func start(t *testing.T, token string) (url string) {
	t.Helper()
	addr := testbed.FreeAddr()
	s := New(Options{Listen: addr, Token: token, Ready: func() bool { return true }, Metrics: telemetry.MustNewMetrics().Handler(), Log: telemetry.Discard()})
	s.HandleJSON("/status", func(context.Context) any { return map[string]int{"ok": 1} })
	s.HandleExplain(func(_ context.Context, subject string) telemetry.Explanation {
		return telemetry.Explanation{Subject: subject}
	})
	t.Cleanup(s.Start())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := testbed.WaitHTTP(ctx, "http://"+addr+"/healthz"); err != nil {
		t.Fatal(err)
	}
	return "http://" + addr
}

func get(t *testing.T, method, url, token string, header string, body io.Reader) (int, string) {
	t.Helper()
	req, _ := http.NewRequestWithContext(t.Context(), method, url, body)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	req.Header.Set("X-Filler", header)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// Guards against decisions and state being readable without the operators' token, and against answers that don't say
// what is wrong with a request.
func TestAdminAccess(t *testing.T) {
	open, closed := start(t, ""), start(t, "s3cret")
	long := strings.Repeat("x", maxSubject+1)
	for _, c := range []struct {
		name, url, token string
		status           int
		want             string
	}{
		{"no token is set, loopback client", open + "/v1/status", "", 200, `{"ok":1}`},
		{"right token", closed + "/v1/status", "s3cret", 200, `{"ok":1}`},
		{"no token", closed + "/v1/status", "", 401, "missing or wrong"},
		{"wrong token", closed + "/v1/explain?subject=a", "other", 401, "missing or wrong"},
		{"explain", open + "/v1/explain?subject=a", "", 200, `"subject":"a"`},
		{"explain nothing", open + "/v1/explain", "", 400, "subject"},
		{"explain a long subject", open + "/v1/explain?subject=" + long, "", 400, "256 bytes"},
		{"unknown path", open + "/v2", "", 404, "unknown path"},
		{"metrics need no token", closed + "/metrics", "", 200, ""},
		{"readiness needs no token", closed + "/readyz", "", 200, "ready"},
	} {
		status, body := get(t, "GET", c.url, c.token, "", nil)
		if status != c.status || !strings.Contains(body, c.want) {
			t.Errorf("%s: got %d %s, want %d %s", c.name, status, body, c.status, c.want)
		}
	}
	for addr, want := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "127.9.9.9:1": true, "10.0.0.1:1": false, "[fe80::1]:1": false} {
		a, _ := net.ResolveTCPAddr("tcp", addr)
		if loopback(a) != want {
			t.Errorf("loopback(%s) is %v, want %v", addr, !want, want)
		}
	}
}

// Guards against an admin port that reads oversized requests into memory or stops serving after one.
func TestAdminRefusesOversizedRequests(t *testing.T) {
	url := start(t, "")
	if status, body := get(t, "POST", url+"/v1/status", "", "", strings.NewReader(strings.Repeat("x", 4*maxBody))); status == 200 {
		t.Errorf("a body of %d bytes got %d %s", 4*maxBody, status, body)
	}
	if status, body := get(t, "GET", url+"/v1/status", "", strings.Repeat("x", 4*maxHeader), nil); status == 200 {
		t.Errorf("a header of %d bytes got %d %s", 4*maxHeader, status, body)
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte("\x00\x01\x02 nonsense\r\n\r\n"))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if b, err := io.ReadAll(conn); err != nil || strings.Contains(string(b), " 200 ") {
		t.Errorf("malformed input got %q, %v", b, err)
	}
	if status, _ := get(t, "GET", url+"/v1/status", "", "", nil); status != 200 {
		t.Errorf("after the malformed requests the server answers %d", status)
	}
}
