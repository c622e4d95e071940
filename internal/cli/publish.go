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

// baseNotGiven is the value of --base if the flag is not set.
const baseNotGiven = -2

func publishCommand() *cobra.Command {
	var file, example string
	var base int64
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish a manifest unless another was published since --base",
		Long: `Publish validates a manifest and appends it to the log service's manifest
stream. With --base N, the offset of the manifest that the new one is based on
(-1: none), it fails if another manifest was published after N. So only one of
two operators who publish from the same base succeeds.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := readManifest(file, example)
			if err != nil {
				return err
			}
			if _, err := manifest.Parse(data); err != nil {
				return eris.Wrap(err, "invalid manifest, nothing published")
			}
			return publish(cmd, data, base)
		}}
	cmd.Flags().StringVar(&file, "file", "", "manifest file (JSON)")
	cmd.Flags().StringVar(&example, "example", "", "example manifest: "+fmt.Sprint(manifest.ExampleNames()))
	cmd.Flags().Int64Var(&base, "base", baseNotGiven, "offset of the manifest that this one is based on (-1: none); default: the latest")
	return cmd
}

// readManifest returns the manifest in file, or the named example.
func readManifest(file, example string) ([]byte, error) {
	switch {
	case file != "" && example != "":
		return nil, eris.New("--file and --example are mutually exclusive")
	case file != "":
		data, err := os.ReadFile(file)
		return data, eris.Wrapf(err, "read %s", file)
	case example != "":
		return manifest.Example(example)
	}
	return nil, eris.New("--file or --example is required")
}

// publish appends the manifest after offset base, or after the latest manifest if base
// is baseNotGiven.
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
		actualNext, _ := logservice.ConflictNext(err)
		return eris.Errorf("rejected: a manifest was published after base %d (latest is %d); rebase on it", next-1, actualNext-1)
	case errors.Is(err, logservice.ErrUnknownOutcome):
		return confirmPublish(cmd, data, next, err)
	}
	return err
}

// confirmPublish reports the outcome of an append whose response was lost. It reads
// the log at the offset of the append to see whether the manifest is there.
func confirmPublish(cmd *cobra.Command, data []byte, next int64, appendErr error) error {
	batch, err := logClient(cmd).Read(cmd.Context(), logservice.StreamManifests, next, 1)
	if err != nil {
		return eris.Wrapf(appendErr, "outcome of publish is unknown and the log cannot be read (%v); run status before retrying", err)
	}
	if len(batch.Records) == 1 && batch.Records[0].Offset == next && bytes.Equal(batch.Records[0].Data, data) {
		fmt.Fprintf(cmd.OutOrStdout(), "published at offset %d (response was lost; confirmed by reading back)\n", next)
		return nil
	}
	if batch.Next <= next {
		return eris.Wrap(appendErr, "not published (confirmed by reading back); safe to retry")
	}
	return eris.Errorf("rejected: another manifest was published at offset %d", next)
}
