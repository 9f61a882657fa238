package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// WriteJSON writes an answer with a JSON body and its length.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// WriteError writes the error with its status and, if it has a RetryAfter, the
// Retry-After header in seconds, rounded up.
func WriteError(w http.ResponseWriter, e *Error) {
	if e.RetryAfter > 0 {
		seconds := math.Ceil(e.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	WriteJSON(w, e.Status(), e)
}

// unknownField is the prefix of encoding/json's message for an unknown field, which has
// no error type.
const unknownField = "json: unknown field "

// invalidField returns the field that a decoding error is about, or "body" if it is
// about none.
func invalidField(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field
	}
	if quoted, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		if name, err := strconv.Unquote(quoted); err == nil && name != "" {
			return name
		}
	}
	return "body"
}

// DecodeStrict decodes a single JSON value into v and rejects unknown fields. The error
// is an *Error that names the invalid field.
func DecodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return &Error{Code: CodeInvalid, Field: invalidField(err), Message: err.Error(), Ran: NotRun}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &Error{Code: CodeInvalid, Field: "body", Message: "more than one JSON value", Ran: NotRun}
	}
	return nil
}
