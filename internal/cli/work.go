package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
)

// errNotFinished reports that a job was not final when the wait ended, errFailed that
// it ended in another state than done.
var (
	errNotFinished = errors.New("the job isn't finished yet")
	errFailed      = errors.New("the job did not complete")
)

// statusInterval is the time between two reads of a job's status while waiting for it.
const statusInterval = 200 * time.Millisecond

func (a *app) requestCommand() *ffcli.Command {
	set := a.flags("request")
	id := set.String("id", "", "request id; a request with a known id joins the first one")
	deadline := set.Duration("deadline", 0, "time limit for the answer; 0 for the time limit of the kind")
	body := set.String("body", "", "body, or @FILE, or - for standard input")
	return a.command("request", "[flags] KIND", "Send one request and print the answer.", set,
		func(ctx context.Context, args []string) error {
			kind, err := pathArg(args, "the kind of work")
			if err != nil {
				return err
			}
			if err := checkDuration("-deadline", *deadline, time.Millisecond); err != nil {
				return err
			}
			data, err := a.readBody("-body", *body)
			if err != nil {
				return err
			}
			header := http.Header{}
			if *id != "" {
				header.Set(api.HeaderRequestID, *id)
			}
			if *deadline > 0 {
				header.Set(api.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
			}
			response, answer, err := a.do(ctx, a.toEntries(), call{http.MethodPost, "/v1/kinds/" + kind + "/requests", header, data})
			if err != nil {
				return err
			}
			return a.printAnswer(response, answer)
		})
}

// requestAnswer is the response to a request as printed with -o json.
type requestAnswer struct {
	ID       string `json:"id"`
	Status   int    `json:"status"`
	Worker   string `json:"worker"`
	WaitedMs string `json:"waited_ms"`
	Body     string `json:"body"`
}

func (a *app) printAnswer(response *http.Response, body []byte) error {
	answer := requestAnswer{
		ID: response.Header.Get(api.HeaderRequestID), Status: response.StatusCode,
		Worker: response.Header.Get(api.HeaderWorker), WaitedMs: response.Header.Get(api.HeaderWaited),
		Body: string(body),
	}
	return a.print(answer, func(w io.Writer) { fmt.Fprintln(w, answer.Body) })
}

func (a *app) submitCommand() *ffcli.Command {
	set := a.flags("submit")
	id := set.String("id", "", "job id; only one job is accepted per id")
	tasks := set.Int("tasks", 1, "number of tasks")
	payload := set.String("payload", "", "payload, or @FILE, or - for standard input")
	within := set.Duration("within", 0, "when the job should be finished, from now; 0 for no deadline")
	wait := set.Duration("wait", 0, "wait this long for the job to be finished")
	return a.command("submit", "[flags] KIND", "Submit a job.", set, func(ctx context.Context, args []string) error {
		kind, err := oneArg(args, "the kind of work")
		if err != nil {
			return err
		}
		if *tasks < 1 {
			return &usageError{fmt.Sprintf("-tasks: %d is below 1", *tasks)}
		}
		if err := checkDuration("-within", *within, time.Millisecond); err != nil {
			return err
		}
		if err := checkDuration("-wait", *wait, 0); err != nil {
			return err
		}
		data, err := a.readBody("-payload", *payload)
		if err != nil {
			return err
		}
		spec := api.JobSpec{ID: *id, Kind: kind, Tasks: *tasks, Payload: data}
		if *within > 0 {
			spec.Deadline = time.Now().Add(*within)
		}
		var view api.JobView
		if err := a.exchange(ctx, a.toEntries(), http.MethodPost, "/v1/jobs", spec, &view); err != nil {
			return err
		}
		return a.follow(ctx, view, *wait)
	})
}

func (a *app) statusCommand() *ffcli.Command {
	set := a.flags("status")
	wait := set.Duration("wait", 0, "wait this long for the job to be finished")
	return a.command("status", "[-wait D] [JOB]", "Print a job, or all jobs of the team.", set,
		func(ctx context.Context, args []string) error {
			if err := checkDuration("-wait", *wait, 0); err != nil {
				return err
			}
			if len(args) == 0 {
				var views []api.JobView
				if err := a.get(ctx, a.toEntries(), "/v1/jobs", &views); err != nil {
					return err
				}
				return a.printJobs(views)
			}
			id, err := pathArg(args, "the job's id")
			if err != nil {
				return err
			}
			var view api.JobView
			if err := a.get(ctx, a.toEntries(), "/v1/jobs/"+id, &view); err != nil {
				return err
			}
			return a.follow(ctx, view, *wait)
		})
}

// follow polls the job until it is final or the wait has elapsed, then prints it. With
// a wait it returns errNotFinished or errFailed unless the job is done.
func (a *app) follow(ctx context.Context, view api.JobView, wait time.Duration) error {
	until := time.Now().Add(wait)
	for !view.State.Final() && time.Now().Before(until) {
		time.Sleep(statusInterval)
		err := a.get(ctx, a.toEntries(), "/v1/jobs/"+url.PathEscape(view.ID), &view)
		// Other errors may pass before the wait is over.
		var refused *api.Error
		if errors.As(err, &refused) && refused.RetryAfter == 0 {
			return err
		}
	}
	if err := a.printJobs([]api.JobView{view}); err != nil {
		return err
	}
	switch {
	case wait == 0 || view.State == api.JobDone:
		return nil
	case view.State.Final():
		return errFailed
	default:
		return errNotFinished
	}
}

func (a *app) printJobs(views []api.JobView) error {
	return a.print(views, func(w io.Writer) {
		table(w, "JOB\tTEAM\tKIND\tSTATE\tWAITING\tRUNNING\tDONE\tFAILED\tWAITED\tREASON", func(row func(...any)) {
			for _, v := range views {
				row(v.ID, v.Team, v.Kind, v.State, v.Tasks.Waiting, v.Tasks.Running, v.Tasks.Done, v.Tasks.Failed, v.Waited, v.Reason)
			}
		})
	})
}

func (a *app) cancelCommand() *ffcli.Command {
	return a.command("cancel", "JOB", "Cancel a job; after the answer no task of it starts.", a.flags("cancel"),
		func(ctx context.Context, args []string) error {
			id, err := pathArg(args, "the job's id")
			if err != nil {
				return err
			}
			var view api.JobView
			if err := a.exchange(ctx, a.toEntries(), http.MethodDelete, "/v1/jobs/"+id, nil, &view); err != nil {
				return err
			}
			return a.printJobs([]api.JobView{view})
		})
}

func (a *app) explainCommand() *ffcli.Command {
	return a.command("explain", "JOB", "Explain why a job is waiting.", a.flags("explain"),
		func(ctx context.Context, args []string) error {
			id, err := pathArg(args, "the job's id")
			if err != nil {
				return err
			}
			var e api.Explanation
			if err := a.get(ctx, a.toEntries(), "/v1/jobs/"+id+"/explain", &e); err != nil {
				return err
			}
			return a.print(e, func(w io.Writer) {
				fmt.Fprintf(w, "%s: %s\n", e.Job, e.Summary)
				fmt.Fprintf(w, "limit: %s\ndimension: %s\nplace in the team's queue: %d\n", orNone(e.Limit), orNone(e.Dimension), e.Position)
			})
		})
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// readBody returns the content of FILE for @FILE, standard input for -, and arg itself
// otherwise. name is the flag that has arg.
func (a *app) readBody(name, arg string) ([]byte, error) {
	if arg == "-" {
		return io.ReadAll(a.stdin)
	}
	if file, isFile := strings.CutPrefix(arg, "@"); isFile {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, &usageError{name + ": " + err.Error()}
		}
		return data, nil
	}
	return []byte(arg), nil
}
