package standin

// Answers are a pure function of the prompt, so that whoever sent a request can
// recompute its exact answer and tell it from every other one.

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MessageOverheadTokens is what each message costs beside its content.
	MessageOverheadTokens = 4
	// BytesPerToken is how many bytes of content make one prompt token.
	BytesPerToken = 4
	// MinAnswerTokens is the length of the shortest answer that is not cut by
	// max_tokens.
	MinAnswerTokens = 16
	// MaxAnswerTokens is the length of the longest answer.
	MaxAnswerTokens = 256
	tokenDigits     = 6
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// PromptOf returns the prompt that the messages make.
func PromptOf(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(string(message.Content))
		prompt.WriteString("\n")
	}
	return prompt.String()
}

// CountTokens returns the prompt tokens of the messages: for each one
// MessageOverheadTokens and a token for every BytesPerToken bytes of content
// begun. It is never more than the bytes of the contents plus the overheads.
func CountTokens(messages []Message) int {
	tokens := 0
	for _, message := range messages {
		tokens += MessageOverheadTokens
		tokens += (len(message.Content) + BytesPerToken - 1) / BytesPerToken
	}
	return tokens
}

// AnswerTokens returns the first n tokens of the answer to the prompt.
func AnswerTokens(prompt string, n int) []string {
	promptHash := xxhash.Sum64String(prompt)
	tokens := make([]string, 0, n)
	for i := range n {
		tokens = append(tokens, answerToken(promptHash, i))
	}
	return tokens
}

// answerToken returns the token at the index, which begins with a space behind
// the first one.
func answerToken(promptHash uint64, index int) string {
	digest := xxhash.Sum64String(strconv.FormatUint(promptHash, 16) + "/" + strconv.Itoa(index))
	token := strconv.FormatUint(digest, 36)
	token = token[len(token)-min(len(token), tokenDigits):]
	if index == 0 {
		return token
	}
	return " " + token
}

// AnswerLength returns how many tokens the answer to the prompt has, which
// maxTokens bounds when it is greater than zero.
func AnswerLength(prompt string, maxTokens int) int {
	length := naturalLength(prompt)
	if maxTokens > 0 {
		return min(length, maxTokens)
	}
	return length
}

func naturalLength(prompt string) int {
	return MinAnswerTokens + int(xxhash.Sum64String(prompt)%(MaxAnswerTokens-MinAnswerTokens+1))
}

// Answer returns the whole text of the answer to the prompt.
func Answer(prompt string, maxTokens int) string {
	return strings.Join(AnswerTokens(prompt, AnswerLength(prompt, maxTokens)), "")
}
