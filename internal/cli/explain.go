package cli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/internal/explain"
)

func explainCommand() *cobra.Command {
	var ids string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID [LOG-FILE...]",
		Short: "Tell a request's story from the entry hosts' logs",
		Long: "Reads the logs of papayatided from the files, or from standard input, and prints the\n" +
			"request's own lines (marked >) and the changes of belief that concern it, in order of\n" +
			"time. Exits with 1 if no line bears the ID. With --ids, prints the cause of every request listed\n" +
			"in the file, and exits with 1 if one has none; all arguments are log files then.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if ids != "" {
				return explainRequests(cmd, ids, args)
			}
			if len(args) == 0 {
				return eris.New("want a request ID, or --ids")
			}
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			story := explain.Find(lines, args[0])
			if len(story.RequestLines) == 0 {
				return eris.Errorf("no line bears the request ID %s (served requests are sampled)", args[0])
			}
			return story.Write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&ids, "ids", "", "file of request IDs, one a line")
	return cmd
}

// explainRequests prints the cause of each request listed in the file.
func explainRequests(cmd *cobra.Command, file string, logs []string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "request IDs")
	}
	lines, err := readLogs(cmd.InOrStdin(), logs)
	if err != nil {
		return err
	}
	causes := explain.Causes(lines)
	found, asked := 0, strings.Fields(string(data))
	for _, id := range asked {
		cause, ok := causes[id]
		if ok {
			found++
		} else {
			cause = "(no line)"
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s\t%s\n", id, cause)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d of %d requests have a line that says why\n", found, len(asked))
	if found < len(asked) {
		return eris.Errorf("%d requests are not explained", len(asked)-found)
	}
	return nil
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
