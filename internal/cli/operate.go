package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
)

func (a *app) applyCommand() *ffcli.Command {
	set := a.flags("apply")
	base := set.Uint64("base", 0, "version the change was made from; refuse if another one is in force")
	change := set.String("change", "", "change id; the same id is applied once")
	return a.command("apply", "[flags] FILE|DIR...", "Replace all records by those of the files, as one change.", set,
		func(ctx context.Context, args []string) error {
			files, err := readFiles(args)
			if err != nil {
				return err
			}
			var result api.ApplyResult
			request := api.ApplyRequest{ChangeID: *change, Base: *base, Files: files}
			if err := a.exchange(ctx, a.toOperators(), http.MethodPost, "/v1/apply", request, &result); err != nil {
				return err
			}
			return a.printApply(result)
		})
}

func (a *app) printApply(result api.ApplyResult) error {
	return a.print(result, func(w io.Writer) {
		for _, line := range result.Changes {
			fmt.Fprintln(w, line)
		}
		fmt.Fprintf(w, "version %d accepted; in force on %s\n", result.Version, strings.Join(result.Confirmed, ", "))
		if len(result.Unconfirmed) > 0 {
			fmt.Fprintf(w, "not confirmed by %s\n", strings.Join(result.Unconfirmed, ", "))
		}
	})
}

func (a *app) planCommand(name string) *ffcli.Command {
	return a.command(name, "FILE|DIR...", "Print what applying the files would change.", a.flags(name),
		func(ctx context.Context, args []string) error {
			files, err := readFiles(args)
			if err != nil {
				return err
			}
			var result api.PlanResult
			if err := a.exchange(ctx, a.toOperators(), http.MethodPost, "/v1/plan", api.ApplyRequest{Files: files}, &result); err != nil {
				return err
			}
			return a.print(result, func(w io.Writer) {
				for _, line := range result.Changes {
					fmt.Fprintln(w, line)
				}
				fmt.Fprintf(w, "%d changes against version %d\n", len(result.Changes), result.Base)
			})
		})
}

func (a *app) withdrawCommand() *ffcli.Command {
	return a.command("withdraw", "KEY-ID", "Withdraw a key; returns when it is in force.", a.flags("withdraw"),
		func(ctx context.Context, args []string) error {
			id, err := pathArg(args, "the key's id")
			if err != nil {
				return err
			}
			var result api.ApplyResult
			if err := a.exchange(ctx, a.toOperators(), http.MethodPost, "/v1/keys/"+id+"/withdraw", nil, &result); err != nil {
				return err
			}
			return a.printApply(result)
		})
}

func (a *app) drainCommand() *ffcli.Command {
	set := a.flags("drain")
	off := set.Bool("off", false, "end the drain: the worker accepts new work again")
	return a.command("drain", "[-off] WORKER", "Stop sending new work to a worker.", set,
		func(ctx context.Context, args []string) error {
			name, err := pathArg(args, "the worker's name")
			if err != nil {
				return err
			}
			method := http.MethodPost
			if *off {
				method = http.MethodDelete
			}
			return a.exchange(ctx, a.toOperators(), method, "/v1/workers/"+name+"/drain", nil, &struct{}{})
		})
}

func (a *app) getCommand() *ffcli.Command {
	return a.command("get", "records|version|entries|workers|racks|teams|jobs TEAM|set-aside", "Print the state of the scheduler.", a.flags("get"),
		func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return &usageError{"name what to get"}
			}
			if args[0] != "jobs" {
				if err := noArgs(args[1:], "get "+args[0]); err != nil {
					return err
				}
			}
			switch args[0] {
			case "records":
				return a.getRecords(ctx)
			case "version", "entries":
				return a.getEntries(ctx)
			case "workers":
				return a.getWorkers(ctx, false)
			case "racks":
				return a.getWorkers(ctx, true)
			case "teams":
				return a.getTeams(ctx)
			case "jobs":
				return a.getJobs(ctx, args[1:])
			case "set-aside":
				return a.getSetAside(ctx)
			default:
				return &usageError{"can't get " + args[0]}
			}
		})
}

func (a *app) getRecords(ctx context.Context) error {
	var view api.RecordsView
	if err := a.get(ctx, a.toOperators(), "/v1/records", &view); err != nil {
		return err
	}
	return a.print(view, func(w io.Writer) { fmt.Fprintf(w, "# version %d\n%s", view.Version, view.Data) })
}

func (a *app) getEntries(ctx context.Context) error {
	var views []api.EntryView
	if err := a.get(ctx, a.toOperators(), "/v1/entries", &views); err != nil {
		return err
	}
	return a.print(views, func(w io.Writer) {
		table(w, "ENTRY\tDOMAIN\tLIVE\tBLOCKS\tVERSION\tHEARD\tSTORE\tGUARDS", func(row func(...any)) {
			for _, v := range views {
				contact := v.LastContactAgo.String()
				if v.LastContactAgo < 0 {
					contact = "missing"
				}
				row(v.Instance, v.FailureDomain, v.Live, v.Blocks, v.Version, contact, v.TableReachable, strings.Join(v.Witnesses, ","))
			}
		})
	})
}

func (a *app) getWorkers(ctx context.Context, racks bool) error {
	var views []api.WorkerView
	if err := a.get(ctx, a.toOperators(), "/v1/workers", &views); err != nil {
		return err
	}
	if racks {
		return a.printRacks(views)
	}
	return a.print(views, func(w io.Writer) {
		table(w, "WORKER\tUPSTREAM\tDOMAIN\tRACK\tSTATE\tOWNER", func(row func(...any)) {
			for _, v := range views {
				row(v.Name, v.Upstream, v.FailureDomain, v.Rack, v.State, v.Owner)
			}
		})
	})
}

// rackView is one rack with the number of its workers.
type rackView struct {
	Rack          string `json:"rack"`
	FailureDomain string `json:"failure_domain"`
	Workers       int    `json:"workers"`
	Open          int    `json:"open"`
}

func (a *app) printRacks(workers []api.WorkerView) error {
	byName := make(map[string]*rackView)
	var racks []*rackView
	for _, v := range workers {
		rack := byName[v.Rack]
		if rack == nil {
			rack = &rackView{Rack: v.Rack, FailureDomain: v.FailureDomain}
			byName[v.Rack] = rack
			racks = append(racks, rack)
		}
		rack.Workers++
		if v.State == "open" {
			rack.Open++
		}
	}
	sort.Slice(racks, func(i, j int) bool { return racks[i].Rack < racks[j].Rack })
	return a.print(racks, func(w io.Writer) {
		table(w, "RACK\tDOMAIN\tWORKERS\tOPEN", func(row func(...any)) {
			for _, v := range racks {
				row(v.Rack, v.FailureDomain, v.Workers, v.Open)
			}
		})
	})
}

func (a *app) getTeams(ctx context.Context) error {
	var views []api.TeamView
	if err := a.get(ctx, a.toOperators(), "/v1/teams", &views); err != nil {
		return err
	}
	return a.print(views, func(w io.Writer) {
		table(w, "TEAM\tSHARE\tLIMIT\tRUNNING\tWAITING HERE", func(row func(...any)) {
			for _, v := range views {
				row(v.Team, v.Share, v.Limit.Running, v.Running.Running, v.Waiting)
			}
		})
	})
}

func (a *app) getJobs(ctx context.Context, args []string) error {
	team, err := pathArg(args, "the team")
	if err != nil {
		return err
	}
	var views []api.JobView
	if err := a.get(ctx, a.toOperators(), "/v1/teams/"+team+"/jobs", &views); err != nil {
		return err
	}
	return a.printJobs(views)
}

// readFiles reads the named files, and the .toml files of the named directories. A directory
// without such files is an error: applied, it would remove the records that belong there.
func readFiles(args []string) ([]api.File, error) {
	if len(args) == 0 {
		return nil, &usageError{"want files or directories of records"}
	}
	var paths []string
	for _, arg := range args {
		found, err := recordPaths(arg)
		if err != nil {
			return nil, err
		}
		paths = append(paths, found...)
	}
	files := make([]api.File, 0, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &usageError{err.Error()}
		}
		files = append(files, api.File{Name: path, Data: string(data)})
	}
	return files, nil
}

// recordPaths returns the path if it is a file's, and the paths of the .toml files in it if it
// is a directory's.
func recordPaths(path string) ([]string, error) {
	if path == "" {
		return nil, &usageError{"want files or directories of records, got an empty name"}
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	var paths []string
	for _, entry := range entries {
		if filepath.Ext(entry.Name()) == ".toml" {
			paths = append(paths, filepath.Join(path, entry.Name()))
		}
	}
	if len(paths) == 0 {
		return nil, &usageError{path + ": the directory has no .toml files"}
	}
	return paths, nil
}

// table prints aligned columns.
func table(w io.Writer, head string, rows func(row func(...any))) {
	columns := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(columns, head)
	rows(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(columns, strings.Join(texts, "\t"))
	})
	_ = columns.Flush()
}
