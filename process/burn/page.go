package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
)

// Size of a plot in pixels.
const (
	plotWidth  = 360
	plotHeight = 40
)

// WriteText writes the report as aligned text.
func (r Report) WriteText(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(columns, "TEAM\tKIND\tWAITING\tTARGET\tWORK\tBAD\tBURN 5m\t30m\t1h\t6h\tBUDGET LEFT\tALERT")
	for _, l := range r.Lines {
		fmt.Fprintf(columns, "%s\t%s\t%s\t%g\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f%%\t%s\n",
			l.Team, orAll(l.Kind), l.Waiting, l.Target, l.Total, l.Bad,
			l.Rates[0], l.Rates[1], l.Rates[2], l.Rates[3], 100*l.BudgetLeft, l.Alert)
	}
	fmt.Fprintf(columns, "entries: %s\n", strings.Join(r.Entries, ", "))
	for _, missing := range r.Missing {
		fmt.Fprintf(columns, "MISSING %s\n", missing)
	}
	return columns.Flush()
}

func orAll(kind string) string {
	if kind == "" {
		return "(all)"
	}
	return kind
}

// WriteHTML writes the report as one self-contained page.
func (r Report) WriteHTML(w io.Writer) error { return page.Execute(w, r) }

// points returns the history as the points of an SVG polyline. Rate 1 is at half
// height; rates above 2 are clipped.
func points(history []float64) string {
	var b strings.Builder
	for i, rate := range history {
		x := float64(i) * plotWidth / float64(max(1, len(history)-1))
		y := plotHeight - min(rate, 2)*plotHeight/2
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"points": points,
	"orAll":  orAll,
	"percent": func(f float64) string {
		return fmt.Sprintf("%.0f%%", 100*f)
	},
	"rate": func(f float64) string { return fmt.Sprintf("%.2f", f) },
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:4px 10px;border-bottom:1px solid #ccc;text-align:right}
td:first-child,td:nth-child(2),th{text-align:left}.page,.ticket,.missing{color:#b00;font-weight:bold}polyline{fill:none;stroke:#046;stroke-width:1.5}line{stroke:#b00;stroke-dasharray:3}</style>
<h1>Service-level burn</h1><p>{{.At.Format "2006-01-02 15:04:05 MST"}}; entries: {{range $i, $e := .Entries}}{{if $i}}, {{end}}{{$e}}{{end}}</p>
{{range .Missing}}<p class="missing">missing: {{.}}</p>{{end}}
<table><tr><th>team<th>kind<th>waiting<th>target<th>work<th>bad<th>5m<th>30m<th>1h<th>6h<th>budget left<th>alert<th>burn over 6 h (line: rate 1)</tr>
{{range .Lines}}<tr><td>{{.Team}}<td>{{orAll .Kind}}<td>{{.Waiting}}<td>{{.Target}}<td>{{.Total}}<td>{{.Bad}}{{range .Rates}}<td>{{rate .}}{{end}}<td>{{percent .BudgetLeft}}<td class="{{.Alert}}">{{.Alert}}
<td><svg width="360" height="40"><line x1="0" x2="360" y1="20" y2="20"/><polyline points="{{points .History}}"/></svg></tr>
{{end}}</table></html>
`))
