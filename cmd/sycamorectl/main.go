// Command sycamorectl is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/operator"
	"sycamoredeal/internal/platform"
)

func main() {
	app := kingpin.New("sycamorectl", "Operators' tool of sycamoredeal.").DefaultEnvars()
	url := app.Flag("platform", "URL of the platform's object API.").Required().String()
	author := app.Flag("author", "Name recorded with a change.").Default(os.Getenv("USER")).String()
	apply := app.Command("apply", "Store a folder of declarations as the next revision.")
	dir := apply.Arg("dir", "Folder of declaration files.").Required().ExistingDir()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	files, err := operator.ReadFolder(*dir)
	app.FatalIfError(err, "read")
	rev, err := operator.Apply(context.Background(), platform.NewClient(*url, ""), *author, files)
	app.FatalIfError(err, "apply")
	fmt.Printf("revision %d stored\n", rev)
}
