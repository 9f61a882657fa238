package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
)

// errNoneSchedules reports that no entry that replied schedules.
var errNoneSchedules = errors.New("none of the entries that replied schedules")

// getSetAside prints the jobs that are set aside on the users' platform. The operators' URLs are
// those of the entries' metrics ports, which need no key; the entry that schedules is looked for
// among them.
func (a *app) getSetAside(ctx context.Context) error {
	bases, err := a.toOperators().bases()
	if err != nil {
		return err
	}
	var failed error
	replied := false
	for _, base := range bases {
		view, err := setAsideOf(ctx, base)
		if err != nil {
			failed = err
			continue
		}
		if view.Schedules {
			return a.printSetAside(view)
		}
		replied = true
	}
	switch {
	case !replied:
		return &unreachableError{failed}
	case failed != nil:
		return fmt.Errorf("%w; %w", errNoneSchedules, failed)
	default:
		return errNoneSchedules
	}
}

// setAsideOf returns what the entry at base knows.
func setAsideOf(ctx context.Context, base string) (view api.SetAsideView, err error) {
	response, body, _, err := send(ctx, base, "", call{method: http.MethodGet, path: api.SetAsidePath})
	if err != nil {
		return view, err
	}
	if err := responseError(response, body); err != nil {
		return view, fmt.Errorf("%s%s: %w", base, api.SetAsidePath, err)
	}
	if err := json.Unmarshal(body, &view); err != nil {
		return view, fmt.Errorf("%s%s: %w: %w", base, api.SetAsidePath, errNoReply, err)
	}
	return view, nil
}

func (a *app) printSetAside(view api.SetAsideView) error {
	return a.print(view.Jobs, func(w io.Writer) {
		table(w, "JOB\tQUEUE\tTEAM\tSINCE\tTRIED AGAIN\tREASON", func(row func(...any)) {
			for _, job := range view.Jobs {
				row(job.Job, job.Queue, job.Team, timeOr(job.Since, "unknown"), timeOr(job.RetryAt, "never"), job.Reason)
			}
		})
	})
}

// timeOr returns the time as text, or none if it is zero.
func timeOr(t time.Time, none string) string {
	if t.IsZero() {
		return none
	}
	return t.UTC().Format(time.RFC3339)
}
