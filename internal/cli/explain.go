package cli

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/internal/explain"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [LOG-FILE...]",
		Short: "Tell a request's story from the entry hosts' logs",
		Long: "Reads the logs of papayatided from the files, or from standard input, and prints the\n" +
			"request's own lines (marked >) and the changes of belief that concern it, in order of\n" +
			"time. Exits with 1 if no line bears the ID.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			story := explain.Find(lines, args[0])
			if len(story.Own) == 0 {
				return eris.Errorf("no line bears the request ID %s (served requests are sampled)", args[0])
			}
			return story.Write(cmd.OutOrStdout())
		},
	}
}

func readLogs(stdin io.Reader, files []string) ([]*explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(stdin)
	}
	var all []*explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open log")
		}
		lines, err := explain.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, eris.Wrapf(err, "log %s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}
