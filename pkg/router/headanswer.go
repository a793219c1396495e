package router

// Answers to HEAD requests.
//
// nbhttp sends the body that a handler writes also if the request is a HEAD, and ends an
// answer without a length with an empty chunk. A caller takes such bytes for the beginning
// of its next answer.

import "bytes"

// endOfHead separates the head of an answer from its body.
var endOfHead = []byte("\r\n\r\n")

// withoutBody returns what belongs to the head of an answer.
func (callerConnection *callerConnection) withoutBody(answer []byte) []byte {
	if callerConnection.headSent {
		return nil
	}
	end := bytes.Index(answer, endOfHead)
	if end < 0 {
		return answer
	}
	callerConnection.headSent = true
	return answer[:end+len(endOfHead)]
}
