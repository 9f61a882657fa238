// Package process holds what lives as long as the process.
package process

import (
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rotisserie/eris"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "pgregory.net/rapid"
)
