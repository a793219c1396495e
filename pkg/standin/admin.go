package standin

import (
	"net/http"

	"github.com/goccy/go-json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	contentType     = "Content-Type"
	jsonContentType = "application/json"
	maxBodyBytes    = 4 << 20
)

// serveJSON returns a handler that responds with the value as JSON.
func serveJSON[Value any](value func() Value) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, value())
	}
}

// acceptJSON returns a handler that decodes the JSON body, passes it to apply and
// responds with the decoded value, or with the error of either step.
func acceptJSON[Value any](apply func(Value) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var value Value
		if err := readJSON(writer, request, &value); err != nil {
			writeFault(writer, err)
			return
		}
		if err := apply(value); err != nil {
			writeFault(writer, err)
			return
		}
		writeJSON(writer, http.StatusOK, value)
	}
}

// runAction returns a handler that calls action and responds without content.
func runAction(action func()) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		action()
		writer.WriteHeader(http.StatusNoContent)
	}
}

func serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusOK)
}

func readJSON(writer http.ResponseWriter, request *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	err := decoder.Decode(value)
	if err == nil {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "body is not the expected JSON: " + err.Error(),
		Remedy:  "correct the body",
		Cause:   err,
	})
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set(contentType, jsonContentType)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func writeFault(writer http.ResponseWriter, err error) {
	writeJSON(writer, fault.StatusOf(err), fault.BodyOf(err))
}
