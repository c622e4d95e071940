package cli

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/manifest"
)

// noBase marks --base as not given.
const baseNotGiven = -2

func publishCommand() *cobra.Command {
	var file, example string
	var base int64
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish a manifest; refused if another was published since --base",
		Long: `Publish validates a manifest and appends it to the log service's manifest
stream. With --base N (the offset of the manifest yours was made from, -1 for
none) the append lands only if no manifest was published after N, so of two
operators racing from the same base exactly one succeeds.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := readManifest(file, example)
			if err != nil {
				return err
			}
			if _, err := manifest.Parse(data); err != nil {
				return eris.Wrap(err, "refused, nothing published")
			}
			return publish(cmd, data, base)
		}}
	cmd.Flags().StringVar(&file, "file", "", "manifest file (JSON)")
	cmd.Flags().StringVar(&example, "example", "", "shipped manifest: "+fmt.Sprint(manifest.ExampleNames()))
	cmd.Flags().Int64Var(&base, "base", baseNotGiven, "offset of the manifest this one was made from (-1: none yet); default: the latest")
	return cmd
}

func readManifest(file, example string) ([]byte, error) {
	switch {
	case file != "" && example != "":
		return nil, eris.New("give --file or --example, not both")
	case file != "":
		data, err := os.ReadFile(file)
		return data, eris.Wrapf(err, "read %s", file)
	case example != "":
		return manifest.Example(example)
	}
	return nil, eris.New("give --file or --example")
}

func publish(cmd *cobra.Command, data []byte, base int64) error {
	logc := logClient(cmd)
	ctx := cmd.Context()
	next := base + 1
	if base == baseNotGiven {
		_, n, err := logc.Last(ctx, logservice.StreamManifests)
		if err != nil {
			return err
		}
		next = n
	}
	off, err := logc.AppendAt(ctx, logservice.StreamManifests, data, next)
	switch {
	case err == nil:
		fmt.Fprintf(cmd.OutOrStdout(), "published at offset %d\n", off)
		return nil
	case errors.Is(err, logservice.ErrConflict):
		real, _ := logservice.ConflictNext(err)
		return eris.Errorf("refused: a manifest was published after base %d (latest is %d); read it and rebase", next-1, real-1)
	case errors.Is(err, logservice.ErrUnknownOutcome):
		return confirmPublish(cmd, data, next, err)
	}
	return err
}

// confirmPublish settles a publish whose answer was lost: it reads the offset the
// manifest would have taken and reports whether it is there.
func confirmPublish(cmd *cobra.Command, data []byte, next int64, cause error) error {
	b, err := logClient(cmd).Read(cmd.Context(), logservice.StreamManifests, next, 1)
	if err != nil {
		return eris.Wrapf(cause, "publish outcome unknown and the log cannot be read back (%v); run status before retrying", err)
	}
	if len(b.Records) == 1 && b.Records[0].Offset == next && bytes.Equal(b.Records[0].Data, data) {
		fmt.Fprintf(cmd.OutOrStdout(), "published at offset %d (answer was lost; confirmed by reading back)\n", next)
		return nil
	}
	if b.Next <= next {
		return eris.Wrap(cause, "not published (confirmed by reading back); safe to retry")
	}
	return eris.Errorf("refused: another manifest took offset %d", next)
}
