package router

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// maxResumeBytes limits the length of the text of a signed resume token.
const maxResumeBytes = 2048

// resumePayload is the signed content of a resume token. It contains the request's
// ID, so that a token cannot be used to resume the answer of another request.
type resumePayload struct {
	Token     dispatch.ResumeToken `json:"token"`
	RequestID string               `json:"request"`
}

// resumeSigner signs and verifies resume tokens with HMAC-SHA256.
type resumeSigner struct {
	key []byte
}

// Sign returns the signed text of a resume token, bound to the request's ID. It
// returns an empty text if the token cannot be encoded.
func (signer resumeSigner) Sign(token dispatch.ResumeToken, requestID string) string {
	payload, err := json.Marshal(resumePayload{Token: token, RequestID: requestID})
	if err != nil {
		return ""
	}
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(payload) + "." + encoding.EncodeToString(signer.mac(payload))
}

// Verify returns the token from its signed text. It returns fault.Invalid if the
// text is malformed, not signed with this key, or bound to another request.
func (signer resumeSigner) Verify(text, requestID string) (dispatch.ResumeToken, error) {
	if len(text) > maxResumeBytes {
		return dispatch.ResumeToken{}, invalidResume(nil)
	}
	payloadText, macText, _ := strings.Cut(text, ".")
	payload, err := base64.RawURLEncoding.DecodeString(payloadText)
	if err != nil {
		return dispatch.ResumeToken{}, invalidResume(err)
	}
	mac, err := base64.RawURLEncoding.DecodeString(macText)
	if err != nil {
		return dispatch.ResumeToken{}, invalidResume(err)
	}
	if !hmac.Equal(mac, signer.mac(payload)) {
		return dispatch.ResumeToken{}, invalidResume(nil)
	}
	var content resumePayload
	if err := json.Unmarshal(payload, &content); err != nil {
		return dispatch.ResumeToken{}, invalidResume(err)
	}
	if content.RequestID != requestID {
		return dispatch.ResumeToken{}, invalidResume(nil)
	}
	return content.Token, nil
}

func (signer resumeSigner) mac(payload []byte) []byte {
	hash := hmac.New(sha256.New, signer.key)
	hash.Write([]byte("resume\x00"))
	hash.Write(payload)
	return hash.Sum(nil)
}

func invalidResume(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "the resume token does not belong to this request",
		Remedy:  "send the Wisterialb-Resume header of the first answer with the same Idempotency-Key, or leave it out",
		Cause:   cause,
	})
}
