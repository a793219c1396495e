package exchange

import (
	"bytes"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// fieldName checks the name at the beginning of a header line. net/http accepts blanks in
// names, and then neither knows a Content-Length or Transfer-Encoding that has one nor
// refuses the answer, whose body it ends elsewhere. It also takes a line that begins with
// a blank for more of the line before, which RFC 9112 allows a proxy to refuse.
type fieldName struct {
	length int
	// start holds the first bytes of the name, enough to compare it with transferEncoding.
	start [len(transferEncoding) + 1]byte
	// ended is set once the colon has been read.
	ended bool
	// carriageReturn is set if the line began with a carriage return, which only an empty
	// line may.
	carriageReturn bool
}

// transferEncoding is the name of the field which says that a body has chunks.
const transferEncoding = "Transfer-Encoding"

// isTransferEncoding reports whether the name is transferEncoding.
func (fieldName *fieldName) isTransferEncoding() bool {
	return fieldName.ended && fieldName.length == len(transferEncoding) &&
		strings.EqualFold(string(fieldName.start[:len(transferEncoding)]), transferEncoding)
}

// read reads a part of the line. It reports false if the line is neither empty nor begins
// with a token and a colon.
func (fieldName *fieldName) read(part []byte) bool {
	switch {
	case len(part) == 0 || fieldName.ended:
		return true
	case fieldName.carriageReturn:
		return false
	case fieldName.length == 0 && string(part) == "\r":
		fieldName.carriageReturn = true
		return true
	}
	name, _, ended := bytes.Cut(part, []byte(":"))
	copy(fieldName.start[min(fieldName.length, len(fieldName.start)):], name)
	fieldName.length += len(name)
	fieldName.ended = ended
	return fieldName.length > 0 && (len(name) == 0 || httpguts.ValidHeaderFieldName(string(name)))
}

// isComplete reports whether the line that was read is empty or has a colon.
func (fieldName *fieldName) isComplete() bool {
	return fieldName.ended || fieldName.length == 0
}
