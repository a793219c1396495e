package completion

import (
	"encoding/json"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Done is the data of the event that ends a whole stream.
const Done = "[DONE]"

// Usage is the token count of an answer in OpenAI's form.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Delta is what one chunk adds to an answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is the one choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ParseChunk reads the data of one event. Its errors are fault.Upstream.
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

// Answer is a whole answer in OpenAI's unstreamed form.
type Answer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []AnswerChoice `json:"choices"`
	Usage   *Usage         `json:"usage,omitempty"`
}

// AnswerChoice is the one choice of an Answer.
type AnswerChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Collector joins the chunks of a stream to one answer.
type Collector struct {
	answer  Answer
	content strings.Builder
	reason  string
}

// Add takes the next chunk.
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
			collector.reason = *choice.FinishReason
		}
	}
}

// Answer returns the whole answer.
func (collector *Collector) Answer() Answer {
	answer := collector.answer
	answer.Object = "chat.completion"
	answer.Choices = []AnswerChoice{{
		Message:      Message{Role: "assistant", Content: collector.content.String()},
		FinishReason: collector.reason,
	}}
	return answer
}
