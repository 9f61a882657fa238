package trial

import (
	"io/fs"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/examples"
)

// ExampleRecords returns a request that applies the records of both example users as
// one change.
func ExampleRecords() (api.ApplyRequest, error) {
	var request api.ApplyRequest
	paths, err := fs.Glob(examples.Files, "*/*.toml")
	if err != nil {
		return request, err
	}
	for _, path := range paths {
		data, err := examples.Files.ReadFile(path)
		if err != nil {
			return request, err
		}
		request.Files = append(request.Files, api.File{Name: path, Data: string(data)})
	}
	return request, nil
}
