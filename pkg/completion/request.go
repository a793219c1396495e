// Package completion reads the callers' form of chat completions, bounds what
// a request can cost, and writes the answers.
//
// The flow: Parse checks a body and returns a Request; Request.Bound is what
// the budget reserves; Request.Forward is the body that a model engine gets.
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
	// messageOverheadTokens bounds what a chat template adds to one message.
	messageOverheadTokens = 16
	// promptOverheadTokens bounds what a chat template adds to one prompt.
	promptOverheadTokens = 16
	// prefixBytes is how much of a prompt decides its cache affinity.
	prefixBytes = 512
)

// outsidePrompt lists the fields that add no tokens to the prompt besides the
// messages. A body with any other field is bounded by all its bytes.
var outsidePrompt = map[string]bool{
	"model": true, "messages": true, "stream": true, "stream_options": true,
	"max_tokens": true, "max_completion_tokens": true, "n": true, "best_of": true,
	"temperature": true, "top_p": true, "stop": true, "seed": true, "user": true,
	"presence_penalty": true, "frequency_penalty": true, "logit_bias": true,
}

// Message is one turn of the conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a checked chat completion request.
type Request struct {
	// Model is the name of the model that the caller asked for.
	Model string
	// Messages are the turns of the conversation.
	Messages []Message
	// Stream is set when the caller wants server-sent events.
	Stream bool
	// IncludeUsage is set when the caller wants usage at a stream's end.
	IncludeUsage bool
	// MaxTokens bounds the generated tokens.
	MaxTokens int64
	fields    map[string]json.RawMessage
	bodyBytes int
}

// ParseConfig bounds what Parse accepts.
type ParseConfig struct {
	// DefaultMaxTokens is used when the body names no bound.
	DefaultMaxTokens int64
	// GreatestMaxTokens is the greatest bound that a body may name.
	GreatestMaxTokens int64
}

// envelope holds the fields that the router reads itself.
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

// Parse checks a request body. Its errors are of the kind fault.Invalid.
func Parse(body []byte, config ParseConfig) (Request, error) {
	var read envelope
	if err := json.Unmarshal(body, &read); err != nil {
		return Request{}, malformed(err)
	}
	if err := read.check(); err != nil {
		return Request{}, err
	}
	maxTokens, err := read.bound(config)
	if err != nil {
		return Request{}, err
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return Request{}, malformed(err)
	}
	return Request{
		Model:        read.Model,
		Messages:     read.Messages,
		Stream:       read.Stream,
		IncludeUsage: read.StreamOptions.IncludeUsage,
		MaxTokens:    maxTokens,
		fields:       fields,
		bodyBytes:    len(body),
	}, nil
}

func (envelope envelope) check() error {
	switch {
	case envelope.Model == "":
		return invalid("the body names no model", `set "model" to the name of a published model`)
	case len(envelope.Messages) == 0:
		return invalid("the body has no messages", `set "messages" to at least one message with role and content`)
	case envelope.N != nil && *envelope.N != 1:
		return invalid(`"n" is not 1`, "send one request for each answer")
	case envelope.BestOf != nil && *envelope.BestOf != 1:
		return invalid(`"best_of" is not 1`, "leave best_of out")
	default:
		return nil
	}
}

func (envelope envelope) bound(config ParseConfig) (int64, error) {
	maxTokens := config.DefaultMaxTokens
	if envelope.MaxTokens != nil {
		maxTokens = *envelope.MaxTokens
	}
	if envelope.MaxCompletionTokens != nil {
		maxTokens = *envelope.MaxCompletionTokens
	}
	if maxTokens < 1 || maxTokens > config.GreatestMaxTokens {
		return 0, invalid(
			fmt.Sprintf("max_tokens is %d", maxTokens),
			fmt.Sprintf("set max_tokens between 1 and %d", config.GreatestMaxTokens))
	}
	return maxTokens, nil
}

// PromptBound returns an upper bound of the prompt's tokens. No tokenizer
// makes more tokens than there are bytes, so bytes bound them.
func (request Request) PromptBound() int64 {
	overhead := int64(promptOverheadTokens + messageOverheadTokens*len(request.Messages))
	if request.hasOnlyMessages() {
		total := overhead
		for _, message := range request.Messages {
			total += int64(len(message.Role) + len(message.Content))
		}
		return total
	}
	return overhead + int64(request.bodyBytes)
}

// Bound returns an upper bound of all tokens that the request can use.
func (request Request) Bound() int64 {
	return request.PromptBound() + request.MaxTokens
}

// hasOnlyMessages reports whether nothing but the messages enters the prompt.
func (request Request) hasOnlyMessages() bool {
	for name := range request.fields {
		if !outsidePrompt[name] {
			return false
		}
	}
	var raw []map[string]json.RawMessage
	if err := json.Unmarshal(request.fields["messages"], &raw); err != nil {
		return false
	}
	for _, message := range raw {
		for name := range message {
			if name != "role" && name != "content" {
				return false
			}
		}
	}
	return true
}

// PrefixHash identifies the start of the prompt for cache affinity.
func (request Request) PrefixHash() uint64 {
	var prefix strings.Builder
	prefix.WriteString(request.Model)
	for _, message := range request.Messages {
		prefix.WriteString("\n" + message.Role + "\n" + message.Content)
		if prefix.Len() >= prefixBytes {
			break
		}
	}
	text := prefix.String()
	return xxhash.Sum64String(text[:min(len(text), prefixBytes)])
}

// Forward returns the body for a model engine. It always asks for a stream
// with usage, so that every answer can be resumed and accounted for.
func (request Request) Forward() ([]byte, error) {
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
		return nil, malformed(err)
	}
	return bytes.TrimSpace(buffer.Bytes()), nil
}

func malformed(err error) error {
	message := "the body is not a chat completion request: " + err.Error()
	remedy := "send JSON in the form of OpenAI's chat completions"
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && strings.HasPrefix(typeError.Field, "messages") {
		remedy = "send each message's content as one string of text; images and parts have no token bound"
	}
	return fault.New(fault.Config{Kind: fault.Invalid, Message: message, Remedy: remedy, Cause: err})
}

func invalid(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Invalid, Message: message, Remedy: remedy})
}
