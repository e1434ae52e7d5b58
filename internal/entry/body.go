package entry

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// completionRequest is the part of a request body that the entry reads; the rest is passed on.
type completionRequest struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	MaxTokens     uint32          `json:"max_tokens"`
	MaxCompletion uint32          `json:"max_completion_tokens"`
	N             int             `json:"n"`
	Messages      json.RawMessage `json:"messages"`
}

// completionBody is a request body whose fields keep the caller's bytes, except those that the entry sets.
type completionBody struct {
	completionRequest
	fields map[string]json.RawMessage
}

func parseCompletion(body []byte) (*completionBody, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b.completionRequest); err != nil {
		return nil, errors.Trace(err)
	}
	if err := json.Unmarshal(body, &b.fields); err != nil {
		return nil, errors.Trace(err)
	}
	if b.Model == "" {
		return nil, errors.New(`field "model" is missing`)
	}
	if b.Messages == nil {
		return nil, errors.New(`field "messages" is missing`)
	}
	b.N = max(b.N, 1)
	b.MaxTokens = max(b.MaxTokens, b.MaxCompletion)
	return &b, nil
}

// encode returns the body for an endpoint. Answers are always streamed from it, so that they can be resumed; a whole
// answer also asks for the usage. soFar is the text of each choice that was already received, nil for a first attempt.
func (b *completionBody) encode(priority int, soFar []string) ([]byte, error) {
	out := make(map[string]any, len(b.fields)+4)
	for k, v := range b.fields {
		out[k] = v
	}
	out["priority"] = priority
	if !b.Stream {
		out["stream"] = true
		out["stream_options"] = map[string]bool{"include_usage": true}
	}
	switch {
	case len(soFar) == 1:
		out["resume_text"] = soFar[0]
	case len(soFar) > 1:
		out["resume_text"] = soFar
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(out); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}
