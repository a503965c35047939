package cli

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"guavaloom.example/guavaloom/internal/bundle"
)

func (t *tool) keysCommand() *cobra.Command {
	keys := &cobra.Command{Use: "keys", Short: "Create signing keys", RunE: missingCommand}
	var out string
	create := &cobra.Command{
		Use: "new", Short: "Write a new signing key to FILE and its public key to FILE.pub", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return t.newKey(out) },
	}
	create.Flags().StringVar(&out, "out", "guavaloom.key", "file of the private key; an existing file is not overwritten")
	keys.AddCommand(create)
	return keys
}

func missingCommand(c *cobra.Command, _ []string) error {
	return errors.Errorf("a command is missing, see %s --help", c.CommandPath())
}

func (t *tool) newKey(out string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make key")
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return errors.Wrap(err, "encode private key")
	}
	pkix, err := x509.MarshalPKIXPublicKey(public)
	if err != nil {
		return errors.Wrap(err, "encode public key")
	}
	if err := writeNew(out, privateBlock, pkcs8, 0o600); err != nil {
		return err
	}
	if err := writeNew(out+".pub", publicBlock, pkix, 0o644); err != nil {
		return err
	}
	id := bundle.KeyIDOf(public)
	t.print(map[string]string{"id": string(id), "private": out, "public": out + ".pub"},
		"key "+string(id)+" written to "+out+" and "+out+".pub")
	return nil
}

// writeNew creates a file and fails if it exists, because an overwritten private key
// cannot be recovered.
func writeNew(file, block string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "write key")
	}
	if err := pem.Encode(f, &pem.Block{Type: block, Bytes: der}); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write key")
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "write key")
	}
	return nil
}
