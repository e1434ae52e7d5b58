package pairs

import (
	"encoding/json"
	"io/fs"
	"os"
	"slices"

	"github.com/juju/errors"
)

// kept is the content of a file with results.
type kept struct {
	Plays   []Play
	Results []Result
}

// LoadOrPlay returns the results of plays from a file, or plays them and writes the file. Without a name it only plays.
func LoadOrPlay(file string, plays []Play, play func() ([]Result, error)) ([]Result, error) {
	if file == "" {
		return play()
	}
	data, err := os.ReadFile(file)
	switch {
	case err == nil:
		var k kept
		if err := json.Unmarshal(data, &k); err != nil {
			return nil, errors.Annotatef(err, "results in %s", file)
		}
		if !slices.Equal(k.Plays, plays) || len(k.Results) != len(plays) {
			return nil, errors.Errorf("the results in %s are of other days or seeds", file)
		}
		return k.Results, nil
	case !errors.Is(err, fs.ErrNotExist):
		return nil, errors.Trace(err)
	}
	results, err := play()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if data, err = json.Marshal(kept{plays, results}); err != nil {
		return nil, errors.Trace(err)
	}
	return results, errors.Trace(os.WriteFile(file, data, 0o644))
}
