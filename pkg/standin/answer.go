package standin

// Answers are a pure function of the prompt, so that a caller can compute the
// expected answer to its request and detect an answer to another request.

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MessageOverheadTokens is the number of prompt tokens that each message
	// counts in addition to its content.
	MessageOverheadTokens = 4
	// BytesPerToken is the number of content bytes per prompt token.
	BytesPerToken = 4
	// MinAnswerTokens is the length in tokens of the shortest answer that is not
	// limited by max_tokens.
	MinAnswerTokens = 16
	// MaxAnswerTokens is the length in tokens of the longest answer.
	MaxAnswerTokens = 256
	tokenDigits     = 6
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// PromptOf returns the prompt text for the messages: one line per message with
// its role and content.
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

// CountTokens returns the number of prompt tokens in the messages. Each message
// counts MessageOverheadTokens plus one token for every BytesPerToken bytes of
// content, rounded up. The result never exceeds the total content size in bytes
// plus the overheads.
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

// answerToken returns the answer token at the index. Every token except the
// first starts with a space.
func answerToken(promptHash uint64, index int) string {
	digest := xxhash.Sum64String(strconv.FormatUint(promptHash, 16) + "/" + strconv.Itoa(index))
	token := strconv.FormatUint(digest, 36)
	token = token[len(token)-min(len(token), tokenDigits):]
	if index == 0 {
		return token
	}
	return " " + token
}

// AnswerLength returns the number of tokens in the answer to the prompt. A
// maxTokens greater than zero limits it.
func AnswerLength(prompt string, maxTokens int) int {
	length := unlimitedAnswerLength(prompt)
	if maxTokens > 0 {
		return min(length, maxTokens)
	}
	return length
}

func unlimitedAnswerLength(prompt string) int {
	return MinAnswerTokens + int(xxhash.Sum64String(prompt)%(MaxAnswerTokens-MinAnswerTokens+1))
}

// Answer returns the complete text of the answer to the prompt. A maxTokens
// greater than zero limits its length in tokens.
func Answer(prompt string, maxTokens int) string {
	return strings.Join(AnswerTokens(prompt, AnswerLength(prompt, maxTokens)), "")
}
