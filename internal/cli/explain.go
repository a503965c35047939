package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/explain"
)

func (t *tool) explainCommand() *cobra.Command {
	var admin string
	cmd := &cobra.Command{Use: "explain", Short: "Explain how an instance forwards a flow or a request", RunE: missingCommand}
	cmd.PersistentFlags().StringVar(&admin, "admin", "127.0.0.1:6081", "admin address of the instance")
	var flow explain.FlowQuery
	flowCmd := &cobra.Command{
		Use: "flow PROTOCOL SOURCE DESTINATION", Short: "Explain to which target a flow is forwarded", Args: cobra.ExactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			flow.Protocol, flow.Source, flow.Destination = args[0], args[1], args[2]
			var a explain.FlowAnswer
			if err := callAdmin(c.Context(), admin, explain.FlowPath, flow, &a); err != nil {
				return err
			}
			t.print(a, flowLines(a)...)
			return nil
		},
	}
	flowCmd.Flags().BoolVar(&flow.First, "first", false, "explain the first packet of the flow (TCP SYN without ACK)")
	var request explain.RequestQuery
	requestCmd := &cobra.Command{
		Use: "request METHOD HOST PATH", Short: "Explain to which targets a request can be sent", Args: cobra.ExactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			request.Method, request.Host, request.Path = args[0], args[1], args[2]
			var a explain.RequestAnswer
			if err := callAdmin(c.Context(), admin, explain.RequestPath, request, &a); err != nil {
				return err
			}
			t.print(a, requestLines(a)...)
			return nil
		},
	}
	requestCmd.Flags().StringVar(&request.IdempotencyKey, "idempotency-key", "", "idempotency key of the request")
	cmd.AddCommand(flowCmd, requestCmd, t.placementCommand(&admin), t.logCommand())
	return cmd
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
		lines = append(lines, "idempotency key is handled by instance "+a.KeyHome)
	}
	for _, t := range a.Targets {
		lines = append(lines, fmt.Sprintf("target %s: %s, %d own slots, %d free", t.Target, t.State, t.Own, t.Free))
	}
	return lines
}
