package cli

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/kingcuplatch/kingcuplatch/process/burn"
)

// reportTimeout bounds the call to one entry.
const reportTimeout = 5 * time.Second

func (a *app) reportCommand() *ffcli.Command {
	set := a.flags("report")
	page := set.String("html", "", "write the report as one HTML page to this file")
	return a.command("report", "[-html FILE] burn", "Report how fast teams use up their error budgets.", set,
		func(ctx context.Context, args []string) error {
			what, err := oneArg(args, "burn")
			if err != nil {
				return err
			}
			if what != "burn" {
				return &usageError{"unknown report " + what}
			}
			parts, err := a.burnParts(ctx)
			if err != nil {
				return err
			}
			report := burn.Merge(time.Now(), parts)
			if *page != "" {
				return writePage(*page, report)
			}
			return a.print(report, func(w io.Writer) { _ = report.WriteText(w) })
		})
}

// burnParts reads the burn report of every entry in -operators. An entry that fails is
// listed with the error. Errors: *usageError.
func (a *app) burnParts(ctx context.Context) ([]burn.Part, error) {
	operators := a.toOperators()
	bases, err := operators.bases()
	if err != nil {
		return nil, err
	}
	var parts []burn.Part
	for _, base := range bases {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		var part burn.Part
		if err := a.exchange(ctx, target{operators.name, base}, http.MethodGet, "/v1/burn", nil, &part); err != nil {
			part = burn.Part{Entry: base, Missing: err.Error()}
		}
		cancel()
		parts = append(parts, part)
	}
	return parts, nil
}

func writePage(path string, report burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return &usageError{"-html: " + err.Error()}
	}
	return errors.Join(report.WriteHTML(file), file.Close())
}
