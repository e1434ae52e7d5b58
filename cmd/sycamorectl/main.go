// Command sycamorectl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"

	"sycamoredeal/internal/operator"
	"sycamoredeal/internal/settings"
)

func main() {
	var s settings.Sycamorectl
	cli := operator.CLI{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	command := settings.MustParse(&s, cli.Register)
	cli.Options = &operator.Options{
		Platform: s.Platform, PlatformToken: s.PlatformToken, Author: s.Author, Control: s.Control,
		OperatorToken: s.OperatorToken, Output: s.Output,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(cli.Run(ctx, command))
}
