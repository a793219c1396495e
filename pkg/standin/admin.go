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

// answerWith returns a handler that answers with a value in JSON.
func answerWith[Value any](value func() Value) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, value())
	}
}

// accept returns a handler that hands the JSON of the body to a function.
func accept[Value any](receive func(Value) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var value Value
		if err := readJSON(writer, request, &value); err != nil {
			writeFault(writer, err)
			return
		}
		if err := receive(value); err != nil {
			writeFault(writer, err)
			return
		}
		writeJSON(writer, http.StatusOK, value)
	}
}

// trigger returns a handler that calls a function.
func trigger(function func()) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		function()
		writer.WriteHeader(http.StatusNoContent)
	}
}

func healthy(writer http.ResponseWriter, _ *http.Request) {
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
