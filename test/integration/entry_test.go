package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
	standin "sycamoredeal/internal/standin/engine"
	"sycamoredeal/internal/standin/service"
	"sycamoredeal/internal/testbed"
)

// entryWorld is a system with one entry process, two engines that hold model m1, and two servers of a plain service.
type entryWorld struct {
	t        *testing.T
	ctx      context.Context
	addr     string // of the entry
	engines  []string
	services []string
	ps       map[string]*testbed.Process
}

// newEntryWorld starts the system. via maps an engine's address to the one that the entry uses.
func newEntryWorld(t *testing.T, tokenTime string, via func(addr string) string) *entryWorld {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	w := &entryWorld{t: t, ctx: ctx, addr: testbed.FreeAddr(), ps: make(map[string]*testbed.Process)}
	start := func(name, program string, args ...string) {
		t.Helper()
		p, err := bed.Start(name, program, args...)
		if err != nil {
			t.Fatal(err)
		}
		w.ps[name] = p
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("%s: %s", name, p.Output())
			}
		})
	}
	plat, ctl, peer := testbed.FreeAddr(), testbed.FreeAddr(), testbed.FreeAddr()
	start("platform", "sycamore-standin", "--listen", plat, "platform")
	start("control", "sycamore-control", "--host", "h1", "--zone", "z1", "--listen", ctl, "--entry-address", peer, "--platform", "http://"+plat)
	start("entry", "sycamore-entry", "--host", "h1", "--zone", "z1", "--listen", w.addr, "--peer-listen", peer, "--control", ctl,
		"--ready-delay", "200ms", "--idle-timeout", "1s", "--max-body", "100000", "--log-level", "debug")
	var endpoints, services []string
	for i := range 2 {
		eng, svc := testbed.FreeAddr(), testbed.FreeAddr()
		start(fmt.Sprint("engine", i), "sycamore-standin", "--listen", eng, "engine", "--token-time", tokenTime)
		start(fmt.Sprint("service", i), "sycamore-standin", "--listen", svc, "service", "--answer-delay", "4s")
		w.engines, w.services = append(w.engines, eng), append(w.services, svc)
		endpoints = append(endpoints, fmt.Sprintf(`{name: e%d, host: g%d, zone: z1, address: "%s", memory: 24GiB, slots: 16}`, i, i, via(eng)))
		services = append(services, fmt.Sprintf(`{name: s%d, host: g%d, zone: z1, address: "%s"}`, i, i, svc))
	}
	decl := fmt.Sprintf(`
ranks: [{name: urgent, order: 0, firstToken: 200ms, betweenToken: 60ms, deadline: 2s}]
callers: [{name: app, keyHashes: [%s], ranks: [urgent], weight: 1}]
models: [{name: m1, memory: 4GiB, minReplicas: 2}]
endpoints: [%s]
services: [{name: registry, timeout: 8s, endpoints: [%s]}]
`, config.Digest([]byte("secret")), strings.Join(endpoints, ", "), strings.Join(services, ", "))
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "10-all.yaml"), []byte(decl), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := testbed.WaitHTTP(ctx, "http://"+plat+"/apis/sycamoredeal/v1/leases"); err != nil {
		t.Fatal(err)
	}
	if out, err := bed.Run(ctx, "sycamorectl", "--platform", "http://"+plat, "--author", "test", "apply", dir); err != nil {
		t.Fatal(out, err)
	}
	if err := testbed.WaitHTTP(ctx, "http://"+w.addr+"/readyz"); err != nil {
		t.Fatal(err)
	}
	w.waitFor("model on both engines", func() bool { return w.loaded(0) && w.loaded(1) })
	w.waitFor("placement at the entry", func() bool {
		_, err := w.complete("ready", 1)
		return err == nil
	})
	return w
}

func (w *entryWorld) waitFor(what string, ok func() bool) {
	w.t.Helper()
	for !ok() {
		if w.ctx.Err() != nil {
			w.t.Fatalf("waiting for %s: %v", what, w.ctx.Err())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *entryWorld) report(i int) (r engine.Report) {
	resp, err := http.Get("http://" + w.engines[i] + "/v1/report")
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	json.NewDecoder(resp.Body).Decode(&r)
	return r
}

func (w *entryWorld) loaded(i int) bool {
	r := w.report(i)
	return len(r.Residents) == 1 && r.Residents[0].State == "ready"
}

func (w *entryWorld) client(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+w.addr+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func params(model, prompt string, tokens int) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(int64(tokens)), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func (w *entryWorld) complete(prompt string, tokens int) (*openai.ChatCompletion, error) {
	c := w.client("secret")
	return c.Chat.Completions.New(w.ctx, params("m1", prompt, tokens))
}

// stream returns the text of a streamed answer, and an error unless it is complete.
func (w *entryWorld) stream(prompt string, tokens int, onToken func(n int)) (string, error) {
	c := w.client("secret")
	s := c.Chat.Completions.NewStreaming(w.ctx, params("m1", prompt, tokens))
	defer s.Close()
	var text strings.Builder
	finish, n := "", 0
	for s.Next() {
		for _, ch := range s.Current().Choices {
			text.WriteString(ch.Delta.Content)
			finish = ch.FinishReason
		}
		n++
		onToken(n)
	}
	if s.Err() == nil && finish != "stop" {
		return text.String(), fmt.Errorf("finish reason %q", finish)
	}
	return text.String(), s.Err()
}

// wantAnswer returns the text that the engine stand-in generates.
func wantAnswer(prompt string, tokens int) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		b.WriteString(standin.Token("m1", fmt.Sprintf("%q\n", prompt), n))
	}
	return b.String()
}

// failedAttempts returns how many attempts the entry has reported as failed.
func (w *entryWorld) failedAttempts() int {
	return strings.Count(w.ps["entry"].Output(), "Attempt failed.")
}

func direct(addr string) string { return addr }

// TestOpenAIClient guards against answers, errors and lists that an unchanged OpenAI client does not understand.
func TestOpenAIClient(t *testing.T) {
	w := newEntryWorld(t, "2ms", direct)
	whole, err := w.complete("hello", 7)
	if err != nil {
		t.Fatal(err)
	}
	if got := whole.Choices[0].Message.Content; got != wantAnswer("hello", 7) || whole.Choices[0].FinishReason != "stop" || whole.Usage.CompletionTokens != 7 {
		t.Errorf("whole answer %q, usage %+v", got, whole.Usage)
	}
	if got, err := w.stream("hi", 7, func(int) {}); err != nil || got != wantAnswer("hi", 7) {
		t.Errorf("streamed answer %q, %v", got, err)
	}
	c := w.client("secret")
	if page, err := c.Models.List(w.ctx); err != nil || len(page.Data) != 1 || page.Data[0].ID != "m1" {
		t.Errorf("models %+v, %v", page, err)
	}
	for _, f := range []struct {
		key, model, prompt string
		status             int
	}{{"wrong", "m1", "x", 401}, {"secret", "m9", "x", 404}, {"secret", "m1", strings.Repeat("x", 200000), 413}} {
		c := w.client(f.key)
		_, err := c.Chat.Completions.New(w.ctx, params(f.model, f.prompt, 1))
		var api *openai.Error
		if !errors.As(err, &api) || api.StatusCode != f.status {
			t.Errorf("key %s, model %s: %v, want status %d", f.key, f.model, err, f.status)
		}
	}
}

// TestEngineKilled guards against a caller that notices the death of the engine that serves its stream.
func TestEngineKilled(t *testing.T) {
	w := newEntryWorld(t, "15ms", direct)
	got, err := w.stream("long", 60, func(n int) {
		if n != 10 {
			return
		}
		for i := range w.engines {
			if w.report(i).Running > 0 {
				w.ps[fmt.Sprint("engine", i)].Kill()
				return
			}
		}
		t.Error("no engine serves the stream")
	})
	if err != nil || got != wantAnswer("long", 60) || w.failedAttempts() == 0 {
		t.Fatalf("answer %q, %v, %d failed attempts", got, err, w.failedAttempts())
	}
}

// TestEngineFrozen guards against a caller that waits for an engine that neither answers nor closes its connections.
func TestEngineFrozen(t *testing.T) {
	w := newEntryWorld(t, "15ms", direct)
	got, err := w.stream("long", 40, func(n int) {
		for i := range w.engines {
			if n == 10 && w.report(i).Running > 0 {
				w.ps[fmt.Sprint("engine", i)].Suspend()
				return
			}
		}
	})
	if err != nil || got != wantAnswer("long", 40) || w.failedAttempts() == 0 {
		t.Fatalf("answer %q, %v, %d failed attempts", got, err, w.failedAttempts())
	}
}

// TestConnectionsCut guards against tokens that are lost or doubled when connections break again and again.
func TestConnectionsCut(t *testing.T) {
	log := zerolog.Nop()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), log)
	var proxies []*toxiproxy.Proxy
	w := newEntryWorld(t, "2ms", func(addr string) string {
		p := toxiproxy.NewProxy(server, addr, testbed.FreeAddr(), addr)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
		proxies = append(proxies, p)
		return p.Listen
	})
	for _, p := range proxies {
		if _, err := p.Toxics.AddToxicJson(strings.NewReader(`{"type":"limit_data","stream":"downstream","attributes":{"bytes":3000}}`)); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := w.stream("cut", 60, func(int) {}); err != nil || got != wantAnswer("cut", 60) {
		t.Errorf("streamed answer %q, %v", got, err)
	}
	if whole, err := w.complete("cut2", 60); err != nil || whole.Choices[0].Message.Content != wantAnswer("cut2", 60) {
		t.Errorf("whole answer %+v, %v", whole, err)
	}
	// Both answers together are about 25 kB, and each connection carries 3 kB.
	if n := w.failedAttempts(); n < 4 {
		t.Errorf("%d connections were cut, want at least 4", n)
	}
}

// TestStopCutsNoStream guards against a stop of the entry process that interrupts requests in progress.
func TestStopCutsNoStream(t *testing.T) {
	w := newEntryWorld(t, "20ms", direct)
	begun, ended := make(chan struct{}, 10), make(chan error, 10)
	for i := range 10 {
		prompt := fmt.Sprint("p", i)
		go func() {
			got, err := w.stream(prompt, 80, func(n int) {
				if n == 1 {
					begun <- struct{}{}
				}
			})
			if err == nil && got != wantAnswer(prompt, 80) {
				err = fmt.Errorf("answer %q", got)
			}
			ended <- err
		}()
	}
	for range 10 {
		select {
		case <-begun:
		case <-w.ctx.Done():
			t.Fatal("streams did not begin")
		}
	}
	if err := w.ps["entry"].Stop(6 * time.Second); err != nil {
		t.Error(err)
	}
	for range 10 {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	if _, err := net.Dial("tcp", w.addr); err == nil {
		t.Error("the entry still listens")
	}
}

// TestServiceKilledMidCall guards against a call that is executed twice, or reported as not run, when the server that
// executes it dies.
func TestServiceKilledMidCall(t *testing.T) {
	w := newEntryWorld(t, "2ms", direct)
	executed := func(i int) int {
		resp, err := http.Get("http://" + w.services[i] + service.ExecutionsPath)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		count := map[string]int{}
		json.NewDecoder(resp.Body).Decode(&count)
		return count["transfer-1"]
	}
	answer := make(chan string, 1)
	go func() {
		req, _ := http.NewRequestWithContext(w.ctx, "POST", "http://"+w.addr+"/svc/registry/transfers", strings.NewReader("heifer"))
		req.Header.Set("Authorization", "Bearer secret")
		req.Header.Set("X-Request-Id", "transfer-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		answer <- fmt.Sprint(resp.StatusCode, " ", string(b))
	}()
	w.waitFor("execution", func() bool { return executed(0)+executed(1) == 1 })
	victim := 0
	if executed(1) == 1 {
		victim = 1
	}
	w.ps[fmt.Sprint("service", victim)].Kill()
	got := <-answer
	if !strings.HasPrefix(got, "502") || !strings.Contains(got, `"executed":"unknown"`) {
		t.Errorf("answer %s, want 502 and unknown", got)
	}
	if n := executed(1 - victim); n != 0 {
		t.Errorf("executed %d more times at the other server", n)
	}
}
