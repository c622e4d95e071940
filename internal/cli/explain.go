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
		Short: "Explain from the entry hosts' logs what happened to a request",
		Long: "Reads logs of papayatided from the files, or from standard input. Prints the lines of the\n" +
			"request (marked >) and the state changes around them that concern it, ordered by time.\n" +
			"Exits with 1 if no line has the request ID. With --ids, all arguments are log files: prints the\n" +
			"cause that the logs give for every request listed in the file, and exits with 1 if one has none.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if ids != "" {
				return explainRequests(cmd, ids, args)
			}
			if len(args) == 0 {
				return eris.New("a request ID or --ids is required")
			}
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			explanation := explain.Find(lines, args[0])
			if len(explanation.RequestLines) == 0 {
				return eris.Errorf("no line has the request ID %s (served requests are sampled)", args[0])
			}
			return explanation.Write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&ids, "ids", "", "file of request IDs, one per line")
	return cmd
}

// explainRequests prints the cause of each request listed in file. It fails if one has
// none.
func explainRequests(cmd *cobra.Command, file string, logs []string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read request IDs")
	}
	lines, err := readLogs(cmd.InOrStdin(), logs)
	if err != nil {
		return err
	}
	causes := explain.Causes(lines)
	found, ids := 0, strings.Fields(string(data))
	for _, id := range ids {
		cause, ok := causes[id]
		if ok {
			found++
		} else {
			cause = "(no line with a cause)"
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s\t%s\n", id, cause)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d of %d requests have a line with a cause\n", found, len(ids))
	if found < len(ids) {
		return eris.Errorf("%d requests have no line with a cause", len(ids)-found)
	}
	return nil
}

// readLogs reads all lines of the files, or of stdin if there are none.
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
			return nil, eris.Wrapf(err, "read log %s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}
