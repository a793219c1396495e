package completion

import (
	"encoding/json"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// DoneMarker is the data of the last event of a complete stream.
const DoneMarker = "[DONE]"

// Usage is the token counts of a request in OpenAI's format.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Delta is the part of an answer that one chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is the choice in a chunk. There is at most one, as Parse accepts only
// n = 1.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is the data of one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ParseChunk decodes the data of one event. Its errors are fault.UpstreamFailed,
// with an unknown outcome.
func ParseChunk(data []byte) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Chunk{}, fault.New(fault.Config{
			Kind:    fault.UpstreamFailed,
			Message: "the engine sent a malformed chunk",
			Remedy:  "check the engine's version",
			Outcome: fault.OutcomeUnknown,
			Cause:   err,
		})
	}
	return chunk, nil
}

// Answer is a complete answer in OpenAI's format without streaming.
type Answer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []AnswerChoice `json:"choices"`
	Usage   *Usage         `json:"usage,omitempty"`
}

// AnswerChoice is the only choice in an Answer.
type AnswerChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Collector merges the chunks of a stream into one answer.
type Collector struct {
	answer       Answer
	content      strings.Builder
	finishReason string
}

// Add appends the next chunk. The first chunk with an ID sets ID, creation time and
// model; later usage and finish reason replace earlier ones.
func (collector *Collector) Add(chunk Chunk) {
	if collector.answer.ID == "" {
		collector.answer.ID = chunk.ID
		collector.answer.Created = chunk.Created
		collector.answer.Model = chunk.Model
	}
	if chunk.Usage != nil {
		collector.answer.Usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		collector.content.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			collector.finishReason = *choice.FinishReason
		}
	}
}

// Held returns how many bytes are held of the chunks added so far.
func (collector *Collector) Held() int { return collector.content.Cap() }

// Answer returns the answer from the chunks added so far.
func (collector *Collector) Answer() Answer {
	answer := collector.answer
	answer.Object = "chat.completion"
	answer.Choices = []AnswerChoice{{
		Message:      Message{Role: "assistant", Content: collector.content.String()},
		FinishReason: collector.finishReason,
	}}
	return answer
}
