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

// maxResumeBytes bounds a resume token.
const maxResumeBytes = 2048

// resumeClaims is the content of a resume token. It binds the attempt to the
// request, so that nobody resumes the answer of somebody else.
type resumeClaims struct {
	Token   dispatch.ResumeToken `json:"token"`
	Request string               `json:"request"`
}

// resumeSigner makes and checks resume tokens.
type resumeSigner struct {
	key []byte
}

// Sign returns the token for an attempt of a request.
func (signer resumeSigner) Sign(token dispatch.ResumeToken, requestID string) string {
	payload, err := json.Marshal(resumeClaims{Token: token, Request: requestID})
	if err != nil {
		return ""
	}
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(payload) + "." + encoding.EncodeToString(signer.mac(payload))
}

// Open checks a token against a request. Its errors are fault.Invalid.
func (signer resumeSigner) Open(text, requestID string) (dispatch.ResumeToken, error) {
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
	var claims resumeClaims
	if err := json.Unmarshal(payload, &claims); err != nil {
		return dispatch.ResumeToken{}, invalidResume(err)
	}
	if claims.Request != requestID {
		return dispatch.ResumeToken{}, invalidResume(nil)
	}
	return claims.Token, nil
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
		Message: "the resume token is not one of this request",
		Remedy:  "send the Wisterialb-Resume header of the first answer with the same Idempotency-Key, or leave it out",
		Cause:   cause,
	})
}
