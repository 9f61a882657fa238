package scenario

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// callTimeout bounds one HTTP call, so that a call to a frozen process fails and can be
// retried.
const callTimeout = 5 * time.Second

// client opens a connection for each call, so that no connection outlives the process
// that it leads to.
var client = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// reply is the response to one call.
type reply struct {
	status int
	body   string
}

func (r reply) ok() bool { return r.status >= 200 && r.status < 300 }

func call(method, url, body string) (reply, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(text)}, err
}

func waitHTTP(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 1, 2, "waithttp URL [TEXT]")
	text := ""
	if len(args) == 2 {
		text = args[1]
	}
	if neg && text == "" {
		ts.Fatalf("! waithttp needs a TEXT")
	}
	var last reply
	var err error
	found := poll(func() bool {
		last, err = call(http.MethodGet, args[0], "")
		return err == nil && last.status == http.StatusOK && strings.Contains(last.body, text) != neg
	})
	if !found {
		ts.Fatalf("%s: condition not met after %v: status %d, error %v, body:\n%s", args[0], waitTimeout, last.status, err, last.body)
	}
}

func get(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 1, 1, "get URL")
	callAndPrint(ts, neg, http.MethodGet, args[0], "")
}

func post(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 2, 2, "post URL BODY")
	callAndPrint(ts, neg, http.MethodPost, args[0], args[1])
}

// callAndPrint makes a call, prints the response body and checks that the status is 2xx,
// with ! that it is not.
func callAndPrint(ts *testscript.TestScript, neg bool, method, url, body string) {
	got, err := call(method, url, body)
	ts.Check(err)
	fmt.Fprintln(ts.Stdout(), got.body)
	if got.ok() == neg {
		ts.Fatalf("%s %s: status %d: %s", method, url, got.status, got.body)
	}
}
