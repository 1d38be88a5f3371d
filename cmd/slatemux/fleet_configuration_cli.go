package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	"github.com/spf13/cobra"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet"
)

const (
	// configurationPath is the path of the fleet configuration at the admin endpoint.
	configurationPath = "/ops/fleet/configuration"
	// changeAttempts is the maximum number of times that a change is signed and submitted while other changes conflict with it.
	changeAttempts = 5
	// changeRetryPause is the pause between two of these attempts.
	changeRetryPause = 200 * time.Millisecond
	// lastChangeSuffix is appended to the path of the private key to name the file of the last change. A change whose answer was lost
	// is submitted again before the next one, so that no sequence number is used twice or skipped.
	lastChangeSuffix = ".last"
)

// configurationCommand builds the command that shows and changes the fleet configuration.
func configurationCommand(addr *string, printJSON *bool) *cobra.Command {
	root := &cobra.Command{
		Use:   "configuration",
		Short: "Show or change the configuration that the fleet replicates",
		Long: `Show the entries of the fleet configuration that a relay has, or sign a change and submit it to a relay, which replicates
the change to all relays. docs/operate-fleet.md explains keys and values.`,
	}
	signer := &changeSigner{addr: addr}
	set := &cobra.Command{
		Use: "set KEY VALUE", Short: "Sign an entry and submit it to a relay", Args: cobra.ExactArgs(2),
		Example: "  slatemux fleet configuration set endpoint/s-5be2a07c down --ops 127.0.0.1:8600 --source control-1 --key-file control-1.key",
		RunE: func(cmd *cobra.Command, args []string) error {
			if !utf8.ValidString(args[1]) {
				return errors.New("fleet configuration: the value is not UTF-8")
			}
			return signer.run(cmd, *printJSON, fleet.ConfigurationChange{Key: args[0], Value: args[1]})
		},
	}
	remove := &cobra.Command{
		Use: "remove KEY", Short: "Sign the removal of an entry and submit it to a relay", Args: cobra.ExactArgs(1),
		Example: "  slatemux fleet configuration remove endpoint/s-5be2a07c --ops 127.0.0.1:8600 --source control-1 --key-file control-1.key",
		RunE: func(cmd *cobra.Command, args []string) error {
			return signer.run(cmd, *printJSON, fleet.ConfigurationChange{Key: args[0], Removed: true})
		},
	}
	keygen := &cobra.Command{
		Use: "keygen", Short: "Write a new private key for a control machine, and print the line for the trusted key file", Args: cobra.NoArgs,
		Example: "  slatemux fleet configuration keygen --source control-1 --key-file control-1.key >> trusted.keys",
		RunE: func(cmd *cobra.Command, _ []string) error {
			line, err := generateKey(signer.source, signer.keyFile)
			if err != nil {
				return fmt.Errorf("fleet configuration: %w", err)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), line)
			return err
		},
	}
	for _, command := range []*cobra.Command{set, remove, keygen} {
		command.Flags().StringVar(&signer.source, "source", "", "the control machine's name, as in the trusted key file")
		command.Flags().StringVar(&signer.keyFile, "key-file", "", "the control machine's private key")
		_ = command.MarkFlagRequired("source")
		_ = command.MarkFlagRequired("key-file")
	}
	show := &cobra.Command{
		Use: "show", Short: "List the entries that a relay has", Args: cobra.NoArgs,
		Example: "  slatemux fleet configuration show --ops 127.0.0.1:8600",
		RunE:    func(cmd *cobra.Command, _ []string) error { return showConfiguration(cmd, *addr, *printJSON) },
	}
	root.AddCommand(show, set, remove, keygen)
	return root
}

// showConfiguration prints the fleet configuration of a relay, as a table or as the JSON that the relay returned.
func showConfiguration(cmd *cobra.Command, addr string, printJSON bool) error {
	body, err := getConfiguration(cmd.Context(), addr)
	if err != nil {
		return err
	}
	if printJSON {
		_, err = cmd.OutOrStdout().Write(body)
		return err
	}
	var state fleet.ConfigurationState
	if err := json.Unmarshal(body, &state); err != nil {
		return fmt.Errorf("fleet configuration: %w", err)
	}
	return writeConfigurationTable(cmd.OutOrStdout(), &state)
}

// getConfiguration requests the fleet configuration from the relay at addr and returns the JSON text.
func getConfiguration(ctx context.Context, addr string) ([]byte, error) {
	if addr == "" {
		return nil, errors.New("fleet: --ops is missing: the address of the relay's admin endpoint")
	}
	body, err := getOps(ctx, addr, configurationPath)
	if err != nil {
		return nil, fmt.Errorf("fleet configuration: %w", err)
	}
	return body, nil
}

// writeConfigurationTable prints the fleet configuration as a table.
func writeConfigurationTable(out io.Writer, state *fleet.ConfigurationState) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "digest\t%s\n", state.Digest)
	fmt.Fprintf(w, "replicating\t%d: %s\n", len(state.Members), strings.Join(state.Members, ", "))
	for _, source := range state.Sources {
		trust := "trusted"
		if !source.Trusted {
			trust = "not trusted any more"
		}
		fmt.Fprintf(w, "source %s\tknown through %d, %s\n", source.Name, state.Versions[source.Name], trust)
	}
	fmt.Fprintf(w, "kept over a restart\t%v\n\n", state.Metrics.Saved)
	fmt.Fprintln(w, "KEY\tVALUE\tSOURCE\tSEQUENCE\tREVISION\tSTATE")
	for _, entry := range state.Entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", entry.Key, entry.Value, entry.Source, entry.Sequence, entry.Revision, entryState(entry))
	}
	return w.Flush()
}

// entryState returns the text of an entry's state. An entry that this version of the relay does not know is
// stored but not applied.
func entryState(entry fleet.ConfigurationEntry) string {
	switch {
	case entry.Removed:
		return "removed"
	case entry.Applied:
		return "applied"
	}
	return "unknown here"
}

// generateKey writes a new private key to path and returns the line for the trusted key file. A file that exists is an error.
func generateKey(source, path string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return "", err
	}
	_, err = fmt.Fprintln(file, base64.StdEncoding.EncodeToString(private.Seed()))
	if err := errors.Join(err, file.Close()); err != nil {
		return "", err
	}
	return source + " " + base64.StdEncoding.EncodeToString(public), nil
}

// readPrivateKey reads a private key from a file that only its owner may access.
func readPrivateKey(path string) (ed25519.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("%s: others may use it (mode %04o); only its owner may have access, as with mode 0600", path, mode)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s: not %d bytes in base64", path, ed25519.SeedSize) // the error must not contain the secret
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// changeSigner signs changes as a control machine and submits them to the relay at addr.
type changeSigner struct {
	addr            *string
	source, keyFile string
}

// run submits the wanted change after the last change of this source has reached the relay, and prints the result.
func (s *changeSigner) run(cmd *cobra.Command, printJSON bool, wanted fleet.ConfigurationChange) error {
	key, err := readPrivateKey(s.keyFile)
	if err != nil {
		return fmt.Errorf("fleet configuration: %w", err)
	}
	if err := s.resubmitLast(cmd.Context()); err != nil {
		return fmt.Errorf("fleet configuration: the previous change is not in force yet: %w", err)
	}
	change, err := s.submit(cmd.Context(), key, wanted)
	if err != nil {
		return fmt.Errorf("fleet configuration: %w", err)
	}
	if printJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(change)
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "stored and in force at %s: change %d of %s\n", *s.addr, change.Sequence, change.Source)
	return err
}

// submit signs a change with the next sequence number of its source and submits it. If another change comes first, it signs and
// submits again.
func (s *changeSigner) submit(ctx context.Context, key ed25519.PrivateKey, wanted fleet.ConfigurationChange) (fleet.ConfigurationChange, error) {
	for attempt := 1; ; attempt++ {
		source, err := s.nextVersions(ctx)
		if err != nil {
			return wanted, err
		}
		wanted.Source, wanted.Sequence, wanted.Revision = s.source, source.NextSequence, source.NextRevision
		change := wanted.Change()
		configsync.Sign(&change, key)
		wanted.Signature = change.Signature
		if err := s.saveLast(wanted); err != nil {
			return wanted, err
		}
		err = s.post(ctx, wanted)
		var refused *changeRefusedError
		if errors.As(err, &refused) && refused.notApplied() {
			err = errors.Join(err, s.removeLast())
		}
		if refused == nil || refused.status != http.StatusConflict || attempt == changeAttempts {
			return wanted, err
		}
		time.Sleep(changeRetryPause)
	}
}

// nextVersions asks the relay for the state of this source, which holds the next sequence and revision numbers.
func (s *changeSigner) nextVersions(ctx context.Context) (fleet.ConfigurationSource, error) {
	body, err := getConfiguration(ctx, *s.addr)
	if err != nil {
		return fleet.ConfigurationSource{}, err
	}
	var state fleet.ConfigurationState
	if err := json.Unmarshal(body, &state); err != nil {
		return fleet.ConfigurationSource{}, err
	}
	for _, source := range state.Sources {
		if source.Name == s.source && source.Trusted {
			return source, nil
		}
	}
	return fleet.ConfigurationSource{}, fmt.Errorf("%s does not trust a source %q", *s.addr, s.source)
}

// resubmitLast submits the last change again if the relay does not have it.
func (s *changeSigner) resubmitLast(ctx context.Context) error {
	raw, err := os.ReadFile(s.keyFile + lastChangeSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var last fleet.ConfigurationChange
	if err := json.Unmarshal(raw, &last); err != nil {
		return fmt.Errorf("%s: %w", s.keyFile+lastChangeSuffix, err)
	}
	source, err := s.nextVersions(ctx)
	if err != nil || last.Source != s.source || source.NextSequence > last.Sequence {
		return err
	}
	err = s.post(ctx, last)
	var refused *changeRefusedError
	if errors.As(err, &refused) && refused.status == http.StatusForbidden { // signed with a key that is no longer trusted
		return s.removeLast()
	}
	return err
}

// saveLast replaces the file of the last change atomically.
func (s *changeSigner) saveLast(change fleet.ConfigurationChange) error {
	raw, err := json.Marshal(change)
	if err != nil {
		return err
	}
	path := s.keyFile + lastChangeSuffix
	if err := os.WriteFile(path+".new", append(raw, '\n'), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// removeLast deletes the file of the last change. It is called only if no relay has accepted that change.
func (s *changeSigner) removeLast() error { return os.Remove(s.keyFile + lastChangeSuffix) }

// changeRefusedError is a relay's answer that refuses a change.
type changeRefusedError struct {
	addr   string
	status int
	reason string
}

// Error implements error.
func (r *changeRefusedError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", r.addr, r.status, r.reason)
}

// notApplied reports whether the relay has surely not stored the change. After a server error this is unknown.
func (r *changeRefusedError) notApplied() bool { return r.status >= 400 && r.status < 500 }

// post sends a signed change to the relay. If the relay refuses the change, the error is a *changeRefusedError.
func (s *changeSigner) post(ctx context.Context, change fleet.ConfigurationChange) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(5*time.Second))
	defer cancel()
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+*s.addr+configurationPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &changeRefusedError{*s.addr, resp.StatusCode, strings.TrimSpace(string(text))}
	}
	return nil
}
