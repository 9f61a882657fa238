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

// WriteJSON answers with a JSON body of known length.
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

// WriteError answers with the error, its status and Retry-After in whole seconds.
func WriteError(w http.ResponseWriter, e *Error) {
	if e.RetryAfter > 0 {
		seconds := math.Ceil(e.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	WriteJSON(w, e.Status(), e)
}

// unknownField begins the message of encoding/json, which has no type for it.
const unknownField = "json: unknown field "

// offendingField names the field that a decoding error is about, else the body.
func offendingField(err error) string {
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

// DecodeStrict decodes one JSON value without unknown fields into v. The error is
// an *Error that names the field it is about.
func DecodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return &Error{Code: CodeInvalid, Field: offendingField(err), Message: err.Error(), Ran: NotRun}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &Error{Code: CodeInvalid, Field: "body", Message: "more than one JSON value", Ran: NotRun}
	}
	return nil
}
