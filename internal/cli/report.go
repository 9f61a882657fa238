package cli

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
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
			report := burn.Merge(time.Now(), a.burnParts(ctx))
			if *page != "" {
				return writePage(*page, report)
			}
			return a.print(report, func(w io.Writer) { _ = report.WriteText(w) })
		})
}

// burnParts reads the burn report of every entry in -operators. An entry that fails is
// listed with the error.
func (a *app) burnParts(ctx context.Context) []burn.Part {
	var parts []burn.Part
	for base := range strings.SplitSeq(a.operators, ",") {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		var part burn.Part
		if err := a.exchange(ctx, base, http.MethodGet, "/v1/burn", nil, &part); err != nil {
			part = burn.Part{Entry: base, Missing: err.Error()}
		}
		cancel()
		parts = append(parts, part)
	}
	return parts
}

func writePage(path string, report burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return &usageError{err.Error()}
	}
	if err := report.WriteHTML(file); err != nil {
		return err
	}
	return file.Close()
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return data, nil
}
