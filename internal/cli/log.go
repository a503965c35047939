package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/explain"
)

func (t *tool) logCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "log ID [FILE ...]",
		Short: "Show the log lines related to a request ID or a flow (CLIENT>SERVICE)",
		Long:  "Reads the logs of one or more instances from files, or from standard input, and prints the lines related to the request or flow, sorted by time.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := t.readLogs(c.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			related, err := explain.RelatedLines(lines, args[0])
			if err != nil {
				return refused{err}
			}
			text := make([]string, len(related))
			for i, l := range related {
				text[i] = l.String()
			}
			t.print(related, text...)
			return nil
		},
	}
}

// readLogs reads the named files, or in if no file is named.
func (t *tool) readLogs(in io.Reader, names []string) (lines []explain.LogLine, err error) {
	read := func(name string, r io.Reader) error {
		l, unreadable, err := explain.ReadLog(r)
		if err != nil {
			return errors.Wrap(err, name)
		}
		if unreadable > 0 {
			_, _ = fmt.Fprintf(t.Err, "%s: skipped %d lines that are not log lines\n", name, unreadable)
		}
		lines = append(lines, l...)
		return nil
	}
	if len(names) == 0 {
		return lines, read("standard input", in)
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = read(name, f)
		_ = f.Close() // read only: a failed close loses no data
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}
