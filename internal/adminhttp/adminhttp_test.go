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

// startServer starts a server with the token and returns its URL once it answers.
func startServer(t *testing.T, token string) (url string) {
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

// request sends a request, with filler as an additional header, and returns the status and body of the response. The
// status is 0 and the body holds the error if there is no response.
func request(t *testing.T, method, url, token string, filler string, body io.Reader) (int, string) {
	t.Helper()
	req, _ := http.NewRequestWithContext(t.Context(), method, url, body)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	req.Header.Set("X-Filler", filler)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// TestAdminAccess guards against decisions and state that can be read without the operators' token, and against error
// responses that don't say what is wrong with the request.
func TestAdminAccess(t *testing.T) {
	openURL, protectedURL := startServer(t, ""), startServer(t, "s3cret")
	longSubject := strings.Repeat("x", maxSubjectBytes+1)
	for _, tc := range []struct {
		name, url, token string
		status           int
		want             string
	}{
		{"no token is set, loopback client", openURL + "/v1/status", "", 200, `{"ok":1}`},
		{"right token", protectedURL + "/v1/status", "s3cret", 200, `{"ok":1}`},
		{"no token", protectedURL + "/v1/status", "", 401, "missing or wrong"},
		{"wrong token", protectedURL + "/v1/explain?subject=a", "other", 401, "missing or wrong"},
		{"explain", openURL + "/v1/explain?subject=a", "", 200, `"subject":"a"`},
		{"explain nothing", openURL + "/v1/explain", "", 400, "subject"},
		{"explain a long subject", openURL + "/v1/explain?subject=" + longSubject, "", 400, "256 bytes"},
		{"unknown path", openURL + "/v2", "", 404, "unknown path"},
		{"metrics need no token", protectedURL + "/metrics", "", 200, ""},
		{"readiness needs no token", protectedURL + "/readyz", "", 200, "ready"},
	} {
		status, body := request(t, "GET", tc.url, tc.token, "", nil)
		if status != tc.status || !strings.Contains(body, tc.want) {
			t.Errorf("%s: got %d %s, want %d %s", tc.name, status, body, tc.status, tc.want)
		}
	}
	for addr, want := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "127.9.9.9:1": true, "10.0.0.1:1": false, "[fe80::1]:1": false} {
		a, _ := net.ResolveTCPAddr("tcp", addr)
		if isLoopback(a) != want {
			t.Errorf("loopback(%s) is %v, want %v", addr, !want, want)
		}
	}
}

// TestAdminRefusesOversizedRequests guards against a server that accepts oversized or malformed requests or stops serving
// after one.
func TestAdminRefusesOversizedRequests(t *testing.T) {
	url := startServer(t, "")
	if status, body := request(t, "POST", url+"/v1/status", "", "", strings.NewReader(strings.Repeat("x", 4*maxBodyBytes))); status == 200 {
		t.Errorf("a body of %d bytes got %d %s", 4*maxBodyBytes, status, body)
	}
	if status, body := request(t, "GET", url+"/v1/status", "", strings.Repeat("x", 4*maxHeaderBytes), nil); status == 200 {
		t.Errorf("a header of %d bytes got %d %s", 4*maxHeaderBytes, status, body)
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
	if status, _ := request(t, "GET", url+"/v1/status", "", "", nil); status != 200 {
		t.Errorf("after the malformed requests the server answers %d", status)
	}
}
