package standin

import (
	"bytes"

	"github.com/goccy/go-json"
)

// Content is the text of a message. In JSON it is a string, or a list of parts
// of which those of type text count.
type Content string

// UnmarshalJSON reads either form.
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

// CompletionRequest is the body of a chat completion, as far as the engine
// heeds it.
type CompletionRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	// User is not used; a request whose user is no text is refused.
	User string `json:"user,omitempty"`
}

// limit returns the greatest number of completion tokens; zero means none.
func (completionRequest CompletionRequest) limit() int {
	if completionRequest.MaxCompletionTokens > 0 {
		return completionRequest.MaxCompletionTokens
	}
	return completionRequest.MaxTokens
}

// Usage is the report of used tokens.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails tells how many prompt tokens were in the prefix cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is a chunk of a stream, or a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one choice of a Completion.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// The reasons for the end of an answer.
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

// tokenChunk returns the JSON of a chunk that carries one token.
func tokenChunk(attempt *attempt, token string) []byte {
	return marshal(Completion{
		ID:      completionPrefix + attempt.id,
		Object:  objectChunk,
		Model:   attempt.model,
		Choices: []Choice{{Delta: &Message{Role: roleAssistant, Content: Content(token)}}},
	})
}

// lastChunk returns the JSON of the chunk that ends a stream.
func lastChunk(attempt *attempt, reason string) []byte {
	usage := attempt.usage()
	return marshal(Completion{
		ID:      completionPrefix + attempt.id,
		Object:  objectChunk,
		Model:   attempt.model,
		Choices: []Choice{{Delta: &Message{}, FinishReason: &reason}},
		Usage:   &usage,
	})
}

// wholeCompletion returns an answer that is not streamed.
func wholeCompletion(attempt *attempt, text, reason string) Completion {
	usage := attempt.usage()
	return Completion{
		ID:      completionPrefix + attempt.id,
		Object:  objectCompletion,
		Model:   attempt.model,
		Choices: []Choice{{Message: &Message{Role: roleAssistant, Content: Content(text)}, FinishReason: &reason}},
		Usage:   &usage,
	}
}

// marshal returns the JSON of a value that always has one.
func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
