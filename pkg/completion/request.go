// Package completion parses chat completion requests in OpenAI's format, computes
// the most tokens that a request can use, and decodes and merges streamed answers.
//
// Parse validates a body and returns a Request. The budget reserves
// Request.MaxTotalTokens. Request.EngineBody is the body for a model engine.
package completion

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// messageOverheadTokens is an upper bound of the tokens that a chat template
	// adds to each message.
	messageOverheadTokens = 16
	// promptOverheadTokens is an upper bound of the tokens that a chat template
	// adds to each prompt.
	promptOverheadTokens = 16
	// affinityPrefixBytes is how many bytes of the model name and the prompt
	// PrefixHash hashes.
	affinityPrefixBytes = 512
)

// nonPromptFields are the fields that add no tokens to the prompt, and "messages",
// whose tokens are counted separately. For a body with any other field, such as
// "tools", all bytes of the body count as prompt.
var nonPromptFields = map[string]bool{
	"model": true, "messages": true, "stream": true, "stream_options": true,
	"max_tokens": true, "max_completion_tokens": true, "n": true, "best_of": true,
	"temperature": true, "top_p": true, "stop": true, "seed": true, "user": true,
	"presence_penalty": true, "frequency_penalty": true, "logit_bias": true,
}

// Message is one message of a conversation. Its content is text only.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a valid chat completion request.
type Request struct {
	// Model is the name of the requested model.
	Model    string
	Messages []Message
	// Stream reports whether the caller wants server-sent events.
	Stream bool
	// IncludeUsage reports whether the caller wants an event with the usage at the
	// end of the stream.
	IncludeUsage bool
	// MaxTokens is the maximum number of generated tokens.
	MaxTokens int64
	fields    map[string]json.RawMessage
	bodyBytes int
}

// ParseConfig holds the limits of Parse.
type ParseConfig struct {
	// DefaultMaxTokens is the limit of generated tokens for a body without one.
	DefaultMaxTokens int64
	// MaxTokensLimit is the largest max_tokens that a body may set.
	MaxTokensLimit int64
}

// envelope holds the fields of a body that the router uses. The names envelope and
// Message are part of JSON errors that callers see.
type envelope struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int64    `json:"max_tokens"`
	MaxCompletionTokens *int64    `json:"max_completion_tokens"`
	N                   *int64    `json:"n"`
	BestOf              *int64    `json:"best_of"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Parse decodes and validates a request body. Its errors are fault.Invalid.
func Parse(body []byte, config ParseConfig) (Request, error) {
	var parsed envelope
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Request{}, malformedError(err)
	}
	if err := parsed.validate(); err != nil {
		return Request{}, err
	}
	maxTokens, err := parsed.maxTokens(config)
	if err != nil {
		return Request{}, err
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return Request{}, malformedError(err)
	}
	return Request{
		Model:        parsed.Model,
		Messages:     parsed.Messages,
		Stream:       parsed.Stream,
		IncludeUsage: parsed.StreamOptions.IncludeUsage,
		MaxTokens:    maxTokens,
		fields:       fields,
		bodyBytes:    len(body),
	}, nil
}

func (envelope envelope) validate() error {
	switch {
	case envelope.Model == "":
		return invalidError("the body names no model", `set "model" to the name of a published model`)
	case len(envelope.Messages) == 0:
		return invalidError("the body has no messages", `set "messages" to at least one message with role and content`)
	case envelope.N != nil && *envelope.N != 1:
		return invalidError(`"n" is not 1`, "send one request for each answer")
	case envelope.BestOf != nil && *envelope.BestOf != 1:
		return invalidError(`"best_of" is not 1`, "leave best_of out")
	default:
		return nil
	}
}

// maxTokens returns the limit of generated tokens. max_completion_tokens takes
// precedence over max_tokens.
func (envelope envelope) maxTokens(config ParseConfig) (int64, error) {
	maxTokens := config.DefaultMaxTokens
	if envelope.MaxTokens != nil {
		maxTokens = *envelope.MaxTokens
	}
	if envelope.MaxCompletionTokens != nil {
		maxTokens = *envelope.MaxCompletionTokens
	}
	if maxTokens < 1 || maxTokens > config.MaxTokensLimit {
		return 0, invalidError(
			fmt.Sprintf("max_tokens is %d", maxTokens),
			fmt.Sprintf("set max_tokens between 1 and %d", config.MaxTokensLimit))
	}
	return maxTokens, nil
}

// MaxPromptTokens returns an upper bound of the prompt's tokens. It counts bytes,
// because no tokenizer produces more tokens than bytes.
func (request Request) MaxPromptTokens() int64 {
	overheadTokens := int64(promptOverheadTokens + messageOverheadTokens*len(request.Messages))
	if request.promptHasOnlyMessages() {
		tokens := overheadTokens
		for _, message := range request.Messages {
			tokens += int64(len(message.Role) + len(message.Content))
		}
		return tokens
	}
	return overheadTokens + int64(request.bodyBytes)
}

// MaxTotalTokens returns an upper bound of the prompt and generated tokens.
func (request Request) MaxTotalTokens() int64 {
	return request.MaxPromptTokens() + request.MaxTokens
}

// promptHasOnlyMessages reports whether the role and content of the messages are
// the only fields that add tokens to the prompt.
func (request Request) promptHasOnlyMessages() bool {
	for name := range request.fields {
		if !nonPromptFields[name] {
			return false
		}
	}
	var messages []map[string]json.RawMessage
	if err := json.Unmarshal(request.fields["messages"], &messages); err != nil {
		return false
	}
	for _, message := range messages {
		for name := range message {
			if name != "role" && name != "content" {
				return false
			}
		}
	}
	return true
}

// PrefixHash returns a hash of the model and the start of the prompt, for choosing
// an upstream by cache affinity.
func (request Request) PrefixHash() uint64 {
	var prefix strings.Builder
	prefix.WriteString(request.Model)
	for _, message := range request.Messages {
		prefix.WriteString("\n" + message.Role + "\n" + message.Content)
		if prefix.Len() >= affinityPrefixBytes {
			break
		}
	}
	text := prefix.String()
	return xxhash.Sum64String(text[:min(len(text), affinityPrefixBytes)])
}

// EngineBody returns the body for a model engine. It always requests a stream with
// usage, so that an interrupted answer can be resumed and its tokens are known.
func (request Request) EngineBody() ([]byte, error) {
	fields := make(map[string]any, len(request.fields)+3)
	for name, value := range request.fields {
		fields[name] = value
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = request.MaxTokens
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(fields); err != nil {
		return nil, malformedError(err)
	}
	return bytes.TrimSpace(buffer.Bytes()), nil
}

// malformedError returns the error for a body that is not a chat completion
// request.
func malformedError(err error) error {
	message := "the body is not a chat completion request: " + err.Error()
	remedy := "send JSON in the form of OpenAI's chat completions"
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && strings.HasPrefix(typeError.Field, "messages") {
		remedy = "send each message's content as one string of text; images and parts have no token bound"
	}
	return fault.New(fault.Config{Kind: fault.Invalid, Message: message, Remedy: remedy, Cause: err})
}

func invalidError(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Invalid, Message: message, Remedy: remedy})
}
