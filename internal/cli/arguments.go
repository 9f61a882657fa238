package cli

import (
	"fmt"
	"net/url"
	"strings"
	"time"
)

// noArgs returns an error that names the command if there are arguments.
func noArgs(args []string, command string) error {
	if len(args) > 0 {
		return &usageError{fmt.Sprintf("%s: want no argument, got %q", command, args)}
	}
	return nil
}

// oneArg returns the only argument. The error of an empty one or of any other number of
// arguments contains the description what.
func oneArg(args []string, what string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", &usageError{"want one argument: " + what}
	}
	return args[0], nil
}

// pathArg is oneArg for an argument that is put into a path, and escapes it.
func pathArg(args []string, what string) (string, error) {
	arg, err := oneArg(args, what)
	if err != nil {
		return "", err
	}
	if arg == "." || arg == ".." {
		return "", &usageError{fmt.Sprintf("%s: %q can't stand in a path", what, arg)}
	}
	return url.PathEscape(arg), nil
}

// checkDuration returns an error that names the flag unless d is 0, the default, or at
// least as long as least.
func checkDuration(name string, d, least time.Duration) error {
	if d != 0 && d < least {
		return &usageError{fmt.Sprintf("%s: %s is below %s", name, d, least)}
	}
	return nil
}

// target is where a call is sent: URLs of entries, separated by commas, and the flag that
// gives them.
type target struct{ name, urls string }

func (a *app) toEntries() target   { return target{"-entries", a.entries} }
func (a *app) toOperators() target { return target{"-operators", a.operators} }

// bases returns the URLs, at least one. Errors: *usageError.
func (t target) bases() ([]string, error) {
	var bases []string
	for text := range strings.SplitSeq(t.urls, ",") {
		base := strings.TrimSuffix(strings.TrimSpace(text), "/")
		if base == "" {
			continue
		}
		parsed, err := url.Parse(base)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
			return nil, &usageError{fmt.Sprintf("%s: %q is not a URL such as http://10.0.0.1:7400", t.name, base)}
		}
		bases = append(bases, base)
	}
	if len(bases) == 0 {
		return nil, &usageError{t.name + " is missing"}
	}
	return bases, nil
}
