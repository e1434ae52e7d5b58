package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sycamoredeal/internal/standin/engine"
)

// result is what became of one request, as its caller saw it.
type result struct {
	flow     int
	verdict  verdict
	executed string // member "executed" of a problem
	id       string
	sent     time.Duration // since the start of the run
	first    time.Duration
	total    time.Duration
	gaps     []time.Duration // between tokens
	tokens   int
	retryMs  uint32
	detail   string
}

// verdict classifies a result.
type verdict int

const (
	answered   verdict = iota // whole and right
	refused                   // told that it was not run
	unknown                   // told that the outcome is unknown
	truncated                 // ended without its end marker, or the connection broke
	wrong                     // tokens missing, doubled or of another request
	failed                    // any other answer
	unfinished                // still in progress when the run ended
	verdicts
)

var verdictNames = [verdicts]string{"answered", "refused", "unknown", "cut", "wrong", "failed", "unfinished"}

func prompt(id string, tokens int) string {
	return id + strings.Repeat(" abc", tokens)
}

func completionBody(f *Stream, a arrival, id string) []byte {
	b, _ := json.Marshal(map[string]any{
		"model": a.model, "stream": !f.NonStreaming, "max_tokens": a.output,
		"messages": []any{map[string]string{"role": "user", "content": prompt(id, a.prompt)}},
	})
	return b
}

// complete sends one completion request and reads its answer.
func (r *run) complete(ctx context.Context, a arrival, id string) result {
	f := &r.Streams[a.flow]
	res := result{flow: a.flow, id: id}
	body := completionBody(f, a, id)
	start := time.Now()
	resp, err := r.balancer.do(r.client, func(addr string) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		setHeaders(req, f.Key, id)
		req.Header.Set("X-Rank", f.Rank)
		return req, nil
	})
	if err != nil {
		res.verdict, res.detail, res.total = truncated, err.Error(), time.Since(start)
		return res
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode != http.StatusOK:
		res.readProblem(resp)
	case f.NonStreaming:
		res.readWhole(resp.Body, a, id, start)
	default:
		res.readStream(resp.Body, a, id, start)
	}
	res.total = time.Since(start)
	return res
}

func setHeaders(req *http.Request, key, id string) {
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Request-Id", id)
}

func (res *result) readProblem(resp *http.Response) {
	var p struct {
		Executed     string `json:"executed"`
		Title        string `json:"title"`
		Detail       string `json:"detail"`
		RetryAfterMs uint32 `json:"retryAfterMs"`
	}
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	res.detail = fmt.Sprintf("%d %s", resp.StatusCode, bytes.TrimSpace(b))
	if json.Unmarshal(b, &p) != nil {
		res.verdict = failed
		return
	}
	res.executed, res.retryMs = p.Executed, p.RetryAfterMs
	switch p.Executed {
	case "no":
		res.verdict = refused
	case "unknown":
		res.verdict = unknown
	default:
		res.verdict = failed
	}
}

// rawPrompt is the prompt as the engine stand-in hashes it: the JSON of each content and a newline.
func rawPrompt(id string, tokens int) string {
	b, _ := json.Marshal(prompt(id, tokens))
	return string(b) + "\n"
}

func (res *result) readWhole(body io.Reader, a arrival, id string, start time.Time) {
	var c struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(body).Decode(&c); err != nil || len(c.Choices) != 1 {
		res.verdict = truncated
		return
	}
	res.first = time.Since(start)
	var want strings.Builder
	p := rawPrompt(id, a.prompt)
	for n := 1; n <= a.output; n++ {
		want.WriteString(engine.Token(a.model, p, n))
	}
	res.tokens = a.output
	if c.Choices[0].Message.Content != want.String() {
		res.verdict, res.detail = wrong, "content differs"
	}
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (res *result) readStream(body io.Reader, a arrival, id string, start time.Time) {
	p := rawPrompt(id, a.prompt)
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 16<<10), 1<<20)
	last := start
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if res.tokens != a.output && res.verdict == answered {
				res.verdict, res.detail = wrong, fmt.Sprintf("%d tokens, want %d", res.tokens, a.output)
			}
			return
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 || c.Choices[0].Delta.Content == "" {
			continue
		}
		res.tokens++
		if want := engine.Token(a.model, p, res.tokens); c.Choices[0].Delta.Content != want && res.verdict == answered {
			res.verdict, res.detail = wrong, fmt.Sprintf("token %d is %q, want %q", res.tokens, c.Choices[0].Delta.Content, want)
		}
		now := time.Now()
		if res.tokens == 1 {
			res.first = now.Sub(start)
		} else {
			res.gaps = append(res.gaps, now.Sub(last))
		}
		last = now
	}
	if res.verdict == answered {
		res.verdict, res.detail = truncated, fmt.Sprint("stream ended without its end marker: ", sc.Err())
	}
}

// call sends one request to a plain service.
func (r *run) call(ctx context.Context, a arrival, id string) result {
	f := &r.Calls[a.flow-len(r.Streams)]
	res := result{flow: a.flow, id: id}
	start := time.Now()
	resp, err := r.balancer.do(r.client, func(addr string) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, f.Method, "http://"+addr+"/svc/"+f.Service+f.Path, strings.NewReader(`{"id":"`+id+`"}`))
		if err != nil {
			return nil, err
		}
		setHeaders(req, f.Key, id)
		if f.SendIdempotencyKey {
			req.Header.Set("Idempotency-Key", `"`+id+`"`)
		}
		return req, nil
	})
	if err != nil {
		res.verdict, res.detail, res.total = truncated, err.Error(), time.Since(start)
		return res
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		res.readProblem(resp)
		res.total = time.Since(start)
		return res
	}
	var answer struct {
		Request string `json:"request"`
	}
	b, err := io.ReadAll(resp.Body)
	switch {
	case err != nil || json.Unmarshal(b, &answer) != nil:
		res.verdict, res.detail = truncated, "answer is not whole"
	case answer.Request != id:
		res.verdict, res.detail = wrong, "answer of request "+answer.Request
	}
	res.first = time.Since(start)
	res.total = res.first
	return res
}
