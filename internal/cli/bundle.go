package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/bundle"
)

func (t *tool) bundleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "bundle", Short: "Check, sign and compare bundles", RunE: missingCommand}
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a bundle and report all mistakes", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return t.check(args[0]) },
	}
	var key, out string
	sign := &cobra.Command{
		Use: "sign FILE --key K", Short: "Check a bundle and add a signature to FILE.sig", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return t.sign(args[0], key, out) },
	}
	sign.Flags().StringVar(&key, "key", "", "file of the private key")
	sign.Flags().StringVar(&out, "signatures", "", "signature file (default FILE.sig)")
	_ = sign.MarkFlagRequired("key")
	diff := &cobra.Command{
		Use: "diff A B", Short: "Show what changes from bundle A to bundle B", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return t.diff(args[0], args[1]) },
	}
	cmd.AddCommand(check, sign, diff)
	return cmd
}

func loadBundle(file string) (*bundle.Bundle, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "bundle")
	}
	return bundle.Parse(file, data)
}

// summary is the output of bundle check.
type summary struct {
	Name     string   `json:"name"`
	Revision string   `json:"revision"`
	Digest   string   `json:"digest"`
	Zones    []string `json:"zones"`
	Services int      `json:"services"`
	Targets  int      `json:"targets"`
	Parts    int      `json:"parts"`
	Bytes    int      `json:"bytes"`
}

func (t *tool) check(file string) error {
	b, err := loadBundle(file)
	if err != nil {
		return err
	}
	e := b.Encode()
	s := summary{Name: b.Name, Revision: b.Revision.String(), Digest: e.Digest().String(), Zones: b.Zones,
		Services: len(b.Services), Parts: len(e.Parts), Bytes: len(e.Header)}
	for _, service := range b.Services {
		s.Targets += len(service.Targets)
	}
	for _, p := range e.Parts {
		s.Bytes += len(p)
	}
	t.print(s, fmt.Sprintf("%s: bundle %s revision %s, %d services and %d targets in %d zones, digest %s",
		file, s.Name, s.Revision, s.Services, s.Targets, len(s.Zones), s.Digest))
	return nil
}

func (t *tool) sign(file, keyFile, out string) error {
	b, err := loadBundle(file)
	if err != nil {
		return err
	}
	key, err := ReadPrivateKey(keyFile)
	if err != nil {
		return err
	}
	if out == "" {
		out = file + ".sig"
	}
	digest := b.Digest()
	signatures, err := loadSignatures(out, digest)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	s := bundle.Sign(digest, key)
	signatures = bundle.MergeSignature(signatures, s)
	if err := os.WriteFile(out, bundle.FormatSignatures(digest, signatures), 0o644); err != nil {
		return errors.Wrap(err, "write signatures")
	}
	t.print(map[string]any{"digest": digest, "key": s.Key, "signatures": len(signatures), "file": out},
		fmt.Sprintf("%s: signed by key %s, %d signatures in %s", file, s.Key, len(signatures), out))
	return nil
}

func loadSignatures(file string, d bundle.Digest) ([]bundle.Signature, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "signatures")
	}
	return bundle.ParseSignatures(file, data, d)
}

func (t *tool) diff(fileA, fileB string) error {
	a, errA := loadBundle(fileA)
	b, errB := loadBundle(fileB)
	if err := errors.Join(errA, errB); err != nil {
		return err
	}
	changes := bundle.Diff(a, b)
	lines := []string{fmt.Sprintf("revision %s -> %s, %d changes", a.Revision, b.Revision, len(changes))}
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	t.print(map[string]any{"from": a.Revision.String(), "to": b.Revision.String(), "changes": changes}, lines...)
	return nil
}
