package pairs

import (
	"encoding/json"
	"io/fs"
	"os"
	"slices"

	"github.com/juju/errors"
)

// savedResults is the content of a results file. It is stored under these field names.
type savedResults struct {
	Plays   []Play
	Results []Result
}

// LoadOrPlay returns the results that a file holds for plays. If the file doesn't exist, it calls play and writes the
// results to the file. If file is empty, it only calls play.
func LoadOrPlay(file string, plays []Play, play func() ([]Result, error)) ([]Result, error) {
	if file == "" {
		return play()
	}
	data, err := os.ReadFile(file)
	switch {
	case err == nil:
		var saved savedResults
		if err := json.Unmarshal(data, &saved); err != nil {
			return nil, errors.Annotatef(err, "results in %s", file)
		}
		if !slices.Equal(saved.Plays, plays) || len(saved.Results) != len(plays) {
			return nil, errors.Errorf("the results in %s are for other days or seeds", file)
		}
		return saved.Results, nil
	case !errors.Is(err, fs.ErrNotExist):
		return nil, errors.Trace(err)
	}
	results, err := play()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if data, err = json.Marshal(savedResults{plays, results}); err != nil {
		return nil, errors.Trace(err)
	}
	return results, errors.Trace(os.WriteFile(file, data, 0o644))
}
