package story

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishstand/radishstand/ctl/cli"
)

// Command returns the subcommand `story`.
func Command(env *cli.Env) *ffcli.Command {
	fs := env.Flags("story")
	id := fs.String("id", "", "ID of the call, as its caller sent it")
	return cli.Command{
		Name: "story", Usage: "radishctl story --id ID [LOG ...]", Flags: fs,
		Short: "tell the way of a call from the logs of the nodes of the users' platform",
		Long: "Reads the JSON lines of nodes from files, or from standard input without any, and prints in the order of time what\n" +
			"they say of the call, of the calls that servers made for it, and of the servers and nodes on its way at that time.\n" +
			"Lines may follow other text whose last word is the name of the node. What the logs lack is named.\n" +
			"Exit codes: 0 done, 1 no line names the call or a file cannot be read, 2 wrong usage.",
		Examples: []string{
			"radishctl story --id 49dd70794b23ac2d node-*.log",
			"radishctl story --id 49dd70794b23ac2d --json < all.log",
		},
		MaxArgs: -1,
		Run: func(_ context.Context, files []string) error {
			if *id == "" {
				return cli.Fail(cli.ExitInvalid, "--id is required")
			}
			return run(env, *id, files)
		},
	}.Build()
}

func run(env *cli.Env, id string, files []string) error {
	records, err := readAll(env, files)
	if err != nil {
		return err
	}
	s := Build(records, id)
	if env.JSON {
		err = env.PrintJSON(s)
	} else {
		err = s.Print(env)
	}
	if err == nil && !s.Found() {
		return cli.Fail(cli.ExitFailed, "no line names the call %s", id)
	}
	return err
}

// readAll returns the records of the files, or of standard input without any.
func readAll(env *cli.Env, files []string) ([]Record, error) {
	if len(files) == 0 {
		return Read(env.Stdin, "standard input")
	}
	var all []Record
	for _, name := range files {
		records, err := readFile(name)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

func readFile(name string) ([]Record, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return Read(file, name)
}
