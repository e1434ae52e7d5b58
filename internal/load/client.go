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

// result describes how one request ended, as its caller observed it.
type result struct {
	flowIndex  int
	outcome    outcome
	executed   string // member "executed" of the problem details
	requestID  string
	sentAt     time.Duration // scheduled time since the start of the run
	firstToken time.Duration
	totalTime  time.Duration
	tokenGaps  []time.Duration // times between consecutive tokens
	tokens     int
	retryMs    uint32
	detail     string
}

// outcome classifies a result.
type outcome int

const (
	answered   outcome = iota // complete answer with the expected content
	refused                   // problem response: the request was not executed
	unknown                   // problem response: the request may have been executed
	truncated                 // answer without its end marker, or a connection error
	mismatched                // tokens that are missing, repeated or belong to another request
	failed                    // any other response
	unfinished                // in progress when the run ended
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "refused", "unknown", "cut", "wrong", "failed", "unfinished"}

// promptText returns the prompt of a request. It starts with the request id, so that no two requests share an answer.
func promptText(id string, tokens int) string {
	return id + strings.Repeat(" abc", tokens)
}

func completionBody(stream *Stream, a arrival, id string) []byte {
	b, _ := json.Marshal(map[string]any{
		"model": a.model, "stream": !stream.NonStreaming, "max_tokens": a.outputTokens,
		"messages": []any{map[string]string{"role": "user", "content": promptText(id, a.promptTokens)}},
	})
	return b
}

// sendCompletion sends one completion request and reads its answer.
func (r *run) sendCompletion(ctx context.Context, a arrival, id string) result {
	stream := &r.Streams[a.flowIndex]
	res := result{flowIndex: a.flowIndex, requestID: id}
	body := completionBody(stream, a, id)
	start := time.Now()
	resp, err := r.balancer.send(r.client, func(addr string) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		setHeaders(req, stream.Key, id)
		req.Header.Set("X-Rank", stream.Rank)
		return req, nil
	})
	if err != nil {
		res.outcome, res.detail, res.totalTime = truncated, err.Error(), time.Since(start)
		return res
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode != http.StatusOK:
		res.readProblem(resp)
	case stream.NonStreaming:
		res.readNonStreaming(resp.Body, a, id, start)
	default:
		res.readStream(resp.Body, a, id, start)
	}
	res.totalTime = time.Since(start)
	return res
}

func setHeaders(req *http.Request, key, id string) {
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Request-Id", id)
}

// readProblem reads the problem details of a response that is not 200. They state whether the request was executed.
func (res *result) readProblem(resp *http.Response) {
	var problem struct {
		Executed     string `json:"executed"`
		Title        string `json:"title"`
		Detail       string `json:"detail"`
		RetryAfterMs uint32 `json:"retryAfterMs"`
	}
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	res.detail = fmt.Sprintf("%d %s", resp.StatusCode, bytes.TrimSpace(b))
	if json.Unmarshal(b, &problem) != nil {
		res.outcome = failed
		return
	}
	res.executed, res.retryMs = problem.Executed, problem.RetryAfterMs
	switch problem.Executed {
	case "no":
		res.outcome = refused
	case "unknown":
		res.outcome = unknown
	default:
		res.outcome = failed
	}
}

// hashedPrompt returns the prompt in the form that the engine stand-in hashes: the JSON of the message content and a
// newline.
func hashedPrompt(id string, tokens int) string {
	b, _ := json.Marshal(promptText(id, tokens))
	return string(b) + "\n"
}

// readNonStreaming reads a completion that is sent as one JSON object, and compares it with the expected one.
func (res *result) readNonStreaming(body io.Reader, a arrival, id string, start time.Time) {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(body).Decode(&completion); err != nil || len(completion.Choices) != 1 {
		res.outcome = truncated
		return
	}
	res.firstToken = time.Since(start)
	var want strings.Builder
	hashed := hashedPrompt(id, a.promptTokens)
	for n := 1; n <= a.outputTokens; n++ {
		want.WriteString(engine.Token(a.model, hashed, n))
	}
	res.tokens = a.outputTokens
	if completion.Choices[0].Message.Content != want.String() {
		res.outcome, res.detail = mismatched, "content differs"
	}
}

// streamChunk holds the members of a streamed completion event that the generator reads.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads a streamed completion, compares each token with the expected one and records the times between them.
func (res *result) readStream(body io.Reader, a arrival, id string, start time.Time) {
	hashed := hashedPrompt(id, a.promptTokens)
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 16<<10), 1<<20)
	lastToken := start
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if res.tokens != a.outputTokens && res.outcome == answered {
				res.outcome, res.detail = mismatched, fmt.Sprintf("%d tokens, want %d", res.tokens, a.outputTokens)
			}
			return
		}
		var c streamChunk
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 || c.Choices[0].Delta.Content == "" {
			continue
		}
		res.tokens++
		if want := engine.Token(a.model, hashed, res.tokens); c.Choices[0].Delta.Content != want && res.outcome == answered {
			res.outcome, res.detail = mismatched, fmt.Sprintf("token %d is %q, want %q", res.tokens, c.Choices[0].Delta.Content, want)
		}
		now := time.Now()
		if res.tokens == 1 {
			res.firstToken = now.Sub(start)
		} else {
			res.tokenGaps = append(res.tokenGaps, now.Sub(lastToken))
		}
		lastToken = now
	}
	if res.outcome == answered {
		res.outcome, res.detail = truncated, fmt.Sprint("stream ended without [DONE]: ", sc.Err())
	}
}

// sendCall sends one request to a plain service.
func (r *run) sendCall(ctx context.Context, a arrival, id string) result {
	call := &r.Calls[a.flowIndex-len(r.Streams)]
	res := result{flowIndex: a.flowIndex, requestID: id}
	start := time.Now()
	resp, err := r.balancer.send(r.client, func(addr string) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+addr+"/svc/"+call.Service+call.Path, strings.NewReader(`{"id":"`+id+`"}`))
		if err != nil {
			return nil, err
		}
		setHeaders(req, call.Key, id)
		if call.SendIdempotencyKey {
			req.Header.Set("Idempotency-Key", `"`+id+`"`)
		}
		return req, nil
	})
	if err != nil {
		res.outcome, res.detail, res.totalTime = truncated, err.Error(), time.Since(start)
		return res
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		res.readProblem(resp)
		res.totalTime = time.Since(start)
		return res
	}
	var answer struct {
		Request string `json:"request"`
	}
	b, err := io.ReadAll(resp.Body)
	switch {
	case err != nil || json.Unmarshal(b, &answer) != nil:
		res.outcome, res.detail = truncated, "answer is incomplete or not JSON"
	case answer.Request != id:
		res.outcome, res.detail = mismatched, "answer of request "+answer.Request
	}
	res.firstToken = time.Since(start)
	res.totalTime = res.firstToken
	return res
}
