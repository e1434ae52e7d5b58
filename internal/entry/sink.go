package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// streamSink passes events on to the caller.
type streamSink struct {
	x *exchange
	w *sse.Writer
}

func (s *streamSink) started() bool { return s.w != nil }

func (s *streamSink) writer() *sse.Writer {
	if s.w == nil {
		s.x.c.Response.Header.Set("X-Request-Id", s.x.id)
		s.w = sse.NewWriter(s.x.c)
	}
	return s.w
}

func (s *streamSink) event(r received) error { return s.writer().WriteEvent(r.id, "", r.data) }

func (s *streamSink) end() error {
	if err := s.writer().WriteEvent("", "", doneMarker); err != nil {
		return err
	}
	return s.w.Close()
}

// abort tells the caller that a stream that has begun can't be completed. The end marker is not sent.
func (s *streamSink) abort(p *problem) {
	b, _ := json.Marshal(map[string]any{"error": map[string]any{
		"message": p.Title + ": " + p.Detail, "type": "server_error", "executed": p.Executed, "requestId": s.x.id,
	}})
	s.x.c.SetConnectionClose()
	s.w.WriteEvent("", "", b)
	s.w.Close()
}

// toolCall is a part of a function call in a stream, and the whole call in a whole answer.
type toolCall struct {
	Index    int      `json:"index"`
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function function `json:"function"`
}

type function struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// choiceBuilder collects one choice of a whole answer.
type choiceBuilder struct {
	content, refusal strings.Builder
	finish           string
	tools            []toolCall
}

func (b *choiceBuilder) add(c chunkChoice) {
	b.content.WriteString(c.Delta.Content)
	b.refusal.WriteString(c.Delta.Refusal)
	for _, t := range c.Delta.ToolCalls {
		b.addTool(t)
	}
	if c.FinishReason != nil {
		b.finish = *c.FinishReason
	}
}

func (b *choiceBuilder) addTool(t toolCall) {
	for i := range b.tools {
		if b.tools[i].Index == t.Index {
			b.tools[i].Function.Name += t.Function.Name
			b.tools[i].Function.Arguments += t.Function.Arguments
			return
		}
	}
	b.tools = append(b.tools, t)
}

func (b *choiceBuilder) message() map[string]any {
	m := map[string]any{"role": "assistant", "content": b.content.String(), "refusal": nil}
	if b.refusal.Len() > 0 {
		m["refusal"] = b.refusal.String()
	}
	if len(b.tools) > 0 {
		var calls []any
		for _, t := range b.tools {
			calls = append(calls, map[string]any{"id": t.ID, "type": "function", "function": t.Function})
		}
		m["tool_calls"] = calls
	}
	return m
}

// wholeSink collects events and sends one whole answer at the end.
type wholeSink struct {
	x            *exchange
	promptTokens int // estimate, used if the endpoint sends no usage
	first        chunk
	choices      []choiceBuilder
	tokens       int
	usage        json.RawMessage
}

func newWholeSink(x *exchange, choices, promptTokens int) *wholeSink {
	return &wholeSink{x: x, promptTokens: promptTokens, choices: make([]choiceBuilder, choices)}
}

func (s *wholeSink) started() bool { return false }

func (s *wholeSink) event(r received) error {
	if s.first.ID == "" {
		s.first = r.chunk
	}
	for _, c := range r.chunk.Choices {
		if c.Index < 0 || c.Index >= len(s.choices) {
			continue
		}
		s.choices[c.Index].add(c)
		if c.Delta.Content != "" || len(c.Delta.ToolCalls) > 0 {
			s.tokens++
		}
	}
	if len(r.chunk.Usage) > 0 && string(r.chunk.Usage) != "null" {
		s.usage = r.chunk.Usage
	}
	return nil
}

func (s *wholeSink) end() error {
	var choices []any
	for i := range s.choices {
		choices = append(choices, map[string]any{
			"index": i, "finish_reason": s.choices[i].finish, "message": s.choices[i].message(), "logprobs": nil,
		})
	}
	created := s.first.Created
	if created == 0 {
		created = time.Now().Unix()
	}
	var usage any = s.usage
	if s.usage == nil {
		usage = map[string]int{"prompt_tokens": s.promptTokens, "completion_tokens": s.tokens, "total_tokens": s.promptTokens + s.tokens}
	}
	b, err := json.Marshal(map[string]any{
		"id": s.first.ID, "object": "chat.completion", "created": created, "model": s.first.Model, "choices": choices, "usage": usage,
	})
	if err != nil {
		return err
	}
	s.x.c.Response.Header.Set("X-Request-Id", s.x.id)
	s.x.c.Data(http.StatusOK, "application/json", b)
	return nil
}
