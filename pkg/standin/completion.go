package standin

import (
	"bytes"

	"github.com/goccy/go-json"
)

// Content is the text of a message. In JSON it is a string, or a list of parts
// whose text fields are concatenated.
type Content string

// UnmarshalJSON decodes a string or a list of parts.
func (content *Content) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		return content.unmarshalParts(data)
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*content = Content(text)
	return nil
}

func (content *Content) unmarshalParts(data []byte) error {
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	text := ""
	for _, part := range parts {
		text += part.Text
	}
	*content = Content(text)
	return nil
}

// CompletionRequest is the body of a chat completion request. It has only the
// fields that the engine reads.
type CompletionRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	// User has no effect, but a request is refused if it isn't a string.
	User string `json:"user,omitempty"`
}

// maxTokens returns the maximum number of completion tokens; zero means no
// limit.
func (completionRequest CompletionRequest) maxTokens() int {
	if completionRequest.MaxCompletionTokens > 0 {
		return completionRequest.MaxCompletionTokens
	}
	return completionRequest.MaxTokens
}

// Usage reports the number of tokens that a completion used.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails reports how many prompt tokens were in the prefix cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is one chunk of a streamed answer, or a complete answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a Completion. Delta is set in a chunk, Message in
// a complete answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// The values of finish_reason.
const (
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

const (
	roleAssistant    = "assistant"
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	completionPrefix = "chatcmpl-"
)

// tokenChunk returns the JSON of a chunk with one token.
func tokenChunk(attempt *attempt, token string) []byte {
	return marshal(Completion{
		ID:      completionPrefix + attempt.id,
		Object:  objectChunk,
		Model:   attempt.model,
		Choices: []Choice{{Delta: &Message{Role: roleAssistant, Content: Content(token)}}},
	})
}

// finalChunk returns the JSON of the chunk that ends a stream, with the finish
// reason and the usage.
func finalChunk(attempt *attempt, reason string) []byte {
	usage := attempt.usage()
	return marshal(Completion{
		ID:      completionPrefix + attempt.id,
		Object:  objectChunk,
		Model:   attempt.model,
		Choices: []Choice{{Delta: &Message{}, FinishReason: &reason}},
		Usage:   &usage,
	})
}

// fullCompletion returns a complete answer, for requests without streaming.
func fullCompletion(attempt *attempt, text, reason string) Completion {
	usage := attempt.usage()
	return Completion{
		ID:      completionPrefix + attempt.id,
		Object:  objectCompletion,
		Model:   attempt.model,
		Choices: []Choice{{Message: &Message{Role: roleAssistant, Content: Content(text)}, FinishReason: &reason}},
		Usage:   &usage,
	}
}

// marshal encodes a value as JSON. It panics if the value can't be encoded.
func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
