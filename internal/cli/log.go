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
		Short: "Tell what the instances' logs say of a request's id or a flow (CLIENT>SERVICE)",
		Long:  "Reads the logs of one or more instances from files, or from standard input, and prints the lines that concern the request or flow in order of time.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := t.readLogs(c.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			story, err := explain.RelatedLines(lines, args[0])
			if err != nil {
				return refused{err}
			}
			text := make([]string, len(story))
			for i, l := range story {
				text[i] = l.String()
			}
			t.print(story, text...)
			return nil
		},
	}
}

// readLogs reads the files, or in if there are none.
func (t *tool) readLogs(in io.Reader, names []string) (lines []explain.LogLine, err error) {
	read := func(name string, r io.Reader) error {
		l, unreadable, err := explain.ReadLog(r)
		if err != nil {
			return errors.Wrap(err, name)
		}
		if unreadable > 0 {
			_, _ = fmt.Fprintf(t.Err, "%s: %d lines are not log lines\n", name, unreadable)
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
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}
