package burn

import (
	"slices"
	"time"
)

// Part is the answer of one entry. Missing is the reason if there is no answer.
type Part struct {
	Entry   string   `json:"entry"`
	Missing string   `json:"missing,omitempty"`
	Series  []Series `json:"series,omitempty"`
}

// Alert is a rule that fires while the burn rates of both windows, given by their indexes
// in Windows, are above Threshold.
type Alert struct {
	Name        string
	Long, Short int
	Threshold   float64
}

// Alerts are the rules recommended for a budget of 30 days: one alerts when 2% of it
// is used within an hour, the other when 5% is used within six hours.
var Alerts = []Alert{
	{Name: "page", Long: 2, Short: 0, Threshold: 14.4},
	{Name: "ticket", Long: 3, Short: 1, Threshold: 6},
}

// Line reports one objective over all entries that answered.
type Line struct {
	Objective
	// Rates holds the burn rate of each of Windows.
	Rates []float64 `json:"rates"`
	Total int64     `json:"total"`
	Bad   int64     `json:"bad"`
	// BudgetLeft is the unused fraction of the budget of the longest window; it is
	// negative if the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	// Alert is the name of the first alert that fires; empty if none does.
	Alert   string    `json:"alert,omitempty"`
	History []float64 `json:"history"`
}

// Report covers all objectives.
type Report struct {
	At      time.Time `json:"at"`
	Entries []string  `json:"entries"`
	// Missing names the entries without counts, each with the reason. Their work is
	// unknown, not zero.
	Missing []string `json:"missing,omitempty"`
	Lines   []Line   `json:"lines"`
}

// Merge sums the parts of all entries into a report.
func Merge(at time.Time, parts []Part) Report {
	report := Report{At: at}
	sums := make(map[Objective]*Series)
	var order []Objective
	for _, part := range parts {
		if part.Missing != "" {
			report.Missing = append(report.Missing, part.Entry+": "+part.Missing)
			continue
		}
		report.Entries = append(report.Entries, part.Entry)
		for _, s := range part.Series {
			sum := sums[s.Objective]
			if sum == nil {
				sum = emptySeries(s.Objective)
				sums[s.Objective] = sum
				order = append(order, s.Objective)
			}
			addCounts(sum.Windows, s.Windows)
			addCounts(sum.History, s.History)
		}
	}
	slices.SortFunc(order, compareObjectives)
	for _, o := range order {
		report.Lines = append(report.Lines, lineOf(sums[o]))
	}
	return report
}

func emptySeries(o Objective) *Series {
	return &Series{Objective: o, Windows: make([]Count, len(Windows)), History: make([]Count, HistoryPoints)}
}

func addCounts(sum, more []Count) {
	for i := range min(len(sum), len(more)) {
		sum[i] = sum[i].Add(more[i])
	}
}

func lineOf(s *Series) Line {
	line := Line{Objective: s.Objective}
	for _, count := range s.Windows {
		line.Rates = append(line.Rates, count.Rate(s.Target))
	}
	for _, count := range s.History {
		line.History = append(line.History, count.Rate(s.Target))
	}
	longest := s.Windows[len(s.Windows)-1]
	line.Total, line.Bad = longest.Total, longest.Bad
	line.BudgetLeft = 1 - longest.Rate(s.Target)
	line.Alert = firstAlert(line.Rates)
	return line
}

func firstAlert(rates []float64) string {
	for _, alert := range Alerts {
		if rates[alert.Long] > alert.Threshold && rates[alert.Short] > alert.Threshold {
			return alert.Name
		}
	}
	return ""
}
