package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/explain"
)

func (t *tool) explainCommand() *cobra.Command {
	var admin string
	cmd := &cobra.Command{Use: "explain", Short: "Ask an instance why it sends a flow or request where it does", RunE: missingCommand}
	cmd.PersistentFlags().StringVar(&admin, "admin", "127.0.0.1:6081", "admin address of the instance")
	var flow explain.FlowQuestion
	flowCmd := &cobra.Command{
		Use: "flow PROTOCOL SOURCE DESTINATION", Short: "Explain the steering of a flow", Args: cobra.ExactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			flow.Protocol, flow.Source, flow.Destination = args[0], args[1], args[2]
			var a explain.FlowAnswer
			if err := ask(c.Context(), admin, explain.FlowPath, flow, &a); err != nil {
				return err
			}
			t.print(a, flowLines(a)...)
			return nil
		},
	}
	flowCmd.Flags().BoolVar(&flow.First, "first", false, "ask for the flow's first packet")
	var request explain.RequestQuestion
	requestCmd := &cobra.Command{
		Use: "request METHOD HOST PATH", Short: "Explain the dispatch of a request", Args: cobra.ExactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			request.Method, request.Host, request.Path = args[0], args[1], args[2]
			var a explain.RequestAnswer
			if err := ask(c.Context(), admin, explain.RequestPath, request, &a); err != nil {
				return err
			}
			t.print(a, requestLines(a)...)
			return nil
		},
	}
	requestCmd.Flags().StringVar(&request.IdempotencyKey, "idempotency-key", "", "key of the request")
	cmd.AddCommand(flowCmd, requestCmd, t.storyCommand())
	return cmd
}

// maxAnswer bounds the answer of a daemon in bytes.
const maxAnswer = 1 << 20

func ask(ctx context.Context, admin, path string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return errors.Wrap(err, "question")
	}
	if !strings.Contains(admin, "://") {
		admin = "http://" + admin
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(admin, "/")+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "--admin")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return refused{errors.Wrap(err, "ask instance")}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return refused{errors.Wrap(err, "ask instance")}
	}
	if resp.StatusCode != http.StatusOK {
		var e explain.Error
		if json.Unmarshal(data, &e) != nil || e.Error == "" {
			e.Error = resp.Status
		}
		if resp.StatusCode == http.StatusBadRequest {
			return errors.New(e.Error)
		}
		return refused{errors.New(e.Error)}
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return refused{errors.Wrap(err, "answer of the instance")}
	}
	return nil
}

func flowLines(a explain.FlowAnswer) []string {
	lines := []string{
		fmt.Sprintf("%s: %s", a.Decision, a.Reason),
		fmt.Sprintf("instance %s, table %s of revision %s, leased %t", a.Instance, a.Version, a.Revision, a.Leased),
	}
	if a.Service != "" {
		lines = append(lines, fmt.Sprintf("service %s in phase %s, slot %d, touched %t, base %s, current %s",
			a.Service, a.Phase, a.Slot, a.Touched, a.Base, a.Current))
	}
	if a.Home != "" {
		lines = append(lines, fmt.Sprintf("home %s, second %s, pin %q", a.Home, a.Second, a.Pin))
	}
	if a.Target != "" {
		lines = append(lines, "target "+a.Target)
	}
	return lines
}

func requestLines(a explain.RequestAnswer) []string {
	lines := []string{
		fmt.Sprintf("%s: %s", a.Decision, a.Reason),
		fmt.Sprintf("instance %s, revision %s, service %s, class %s, idempotent %t, deadline %d ms",
			a.Instance, a.Revision, a.Service, a.Class, a.Idempotent, a.DeadlineMillis),
	}
	if a.KeyHome != "" {
		lines = append(lines, "key is decided by "+a.KeyHome)
	}
	for _, t := range a.Targets {
		lines = append(lines, fmt.Sprintf("target %s: %s, %d own slots, %d free", t.Target, t.State, t.Own, t.Free))
	}
	return lines
}
