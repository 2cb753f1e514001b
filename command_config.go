package main

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/authenticator"
	"github.com/siskinfront/siskinfront/configurer"
)

// operatorKeyVariable is the environment variable that holds the operator key; a flag would show the key in the process list.
const operatorKeyVariable = "SISKINFRONT_OPERATOR_KEY"

// adminFlags holds the flags of commands that call the administration API.
type adminFlags struct {
	address string
	// addressFlag is the name of the flag for the address.
	addressFlag string
	keyFile     string
	caFile      string
	// serverName is empty if the certificate is issued for the IP address.
	serverName string
}

func (f *adminFlags) add(cmd *cobra.Command) {
	f.addAs(cmd, "address", "IP address and port of the administration API of any entry")
}

// addAs adds the flags with another name and usage of the one for the address.
func (f *adminFlags) addAs(cmd *cobra.Command, addressFlag, usage string) {
	f.addressFlag = addressFlag
	cmd.Flags().StringVar(&f.address, addressFlag, "", usage)
	cmd.Flags().StringVar(&f.keyFile, "key-file", "", "file with the operator key; without it $"+operatorKeyVariable+" is used")
	cmd.Flags().StringVar(&f.caFile, "ca-file", "", "PEM file with the certificate authority of the API; without it the API is called without TLS")
	cmd.Flags().StringVar(&f.serverName, "server-name", "", "name in the certificate of the API, if it is not issued for the IP address")
}

func (f *adminFlags) client() (*administrator.Client, error) {
	address, err := netip.ParseAddrPort(f.address)
	if err != nil {
		return nil, fmt.Errorf("config: --%s: %w", f.addressFlag, err)
	}
	key := os.Getenv(operatorKeyVariable)
	if f.keyFile != "" {
		b, err := os.ReadFile(filepath.Clean(f.keyFile))
		if err != nil {
			return nil, fmt.Errorf("config: read operator key: %w", err)
		}
		key = string(b)
	}
	if key = strings.TrimSpace(key); key == "" {
		return nil, errors.New("config: no operator key; set $" + operatorKeyVariable + " or use --key-file")
	}
	if f.caFile == "" {
		if f.serverName != "" {
			return nil, errors.New("config: --server-name needs --ca-file")
		}
		return administrator.NewClient(address, key), nil
	}
	authority, err := authenticator.LoadAuthority(f.caFile)
	if err != nil {
		return nil, fmt.Errorf("config: --ca-file: %w", err)
	}
	return administrator.NewClient(address, key, administrator.WithTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: authority, ServerName: f.serverName,
	})), nil
}

func newConfigCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Check, apply, show and compare configurations",
		Example: "  siskinfront config check configuration.yaml",
	}
	cmd.AddCommand(newConfigCheckCommand(), newConfigApplyCommand(), newConfigShowCommand(), newConfigDiffCommand(), newConfigHistoryCommand())
	return cmd
}

func newConfigApplyCommand() *cobra.Command {
	var admin adminFlags
	var output string
	var base uint64
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the configuration by a file, if it has not changed since the file was made",
		Long: "Replace the configuration by a file. The revision in the file, or --base, is the revision that the file was made\n" +
			"from; if the configuration has changed since then, nothing is applied.",
		Example: "  siskinfront config show --address 10.0.0.4:7003 --ca-file ca.pem > c.yaml\n" +
			"  siskinfront config apply --address 10.0.0.4:7003 --ca-file ca.pem --dry-run c.yaml",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			next, err := readConfiguration(args[0])
			if err != nil {
				return err
			}
			client, err := admin.client()
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("base") {
				base = next.Revision
			}
			reply, err := client.Apply(cmd.Context(), base, next, dryRun)
			if err != nil {
				return withCurrentRevision(err)
			}
			if output == outputJSON {
				return writeRows(cmd.OutOrStdout(), output, reply, nil, nil)
			}
			for _, warning := range reply.Warnings {
				fmt.Fprintf(cmd.ErrOrStderr(), "warning: %s: %s\n", warning.Field, warning.Message)
			}
			if err := writeDifferences(cmd.OutOrStdout(), output, reply.Changes); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d, dry run %t\n", reply.Revision, reply.DryRun)
			return err
		},
	}
	admin.add(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "revision that the file was made from, instead of the one in the file")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "only show what would change")
	addOutputFlag(cmd, &output)
	return cmd
}

// withCurrentRevision adds the current revision to the error if the change was rejected because the configuration had changed.
func withCurrentRevision(err error) error {
	var failure *administrator.APIError
	if errors.As(err, &failure) && failure.ETag != "" {
		return fmt.Errorf("%w; the current revision is %s", err, strings.Trim(failure.ETag, `"`))
	}
	return err
}

func newConfigShowCommand() *cobra.Command {
	var admin adminFlags
	var output string
	var revision uint64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the configuration as YAML or JSON",
		Example: "  siskinfront config show --address 10.0.0.4:7003 --ca-file ca.pem\n" +
			"  siskinfront config show --address 10.0.0.4:7003 --ca-file ca.pem --revision 41",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := admin.client()
			if err != nil {
				return err
			}
			var selected *uint64
			if cmd.Flags().Changed("revision") {
				selected = &revision
			}
			c, err := client.Configuration(cmd.Context(), selected)
			if err != nil {
				return err
			}
			switch output {
			case "yaml":
				b, err := configurer.Marshal(c)
				if err != nil {
					return err
				}
				_, err = cmd.OutOrStdout().Write(b)
				return err
			case outputJSON:
				return writeRows(cmd.OutOrStdout(), output, configurer.ToGeneric(c), nil, nil)
			default:
				return fmt.Errorf("--output is %q; it must be yaml or json", output)
			}
		},
	}
	admin.add(cmd)
	cmd.Flags().Uint64Var(&revision, "revision", 0, "an earlier revision instead of the current one")
	cmd.Flags().StringVar(&output, "output", "yaml", "yaml or json")
	return cmd
}

func newConfigDiffCommand() *cobra.Command {
	var admin adminFlags
	var output string
	var from, to uint64
	cmd := &cobra.Command{
		Use:   "diff [FILE FILE]",
		Short: "Show what differs between two files or two revisions",
		Example: "  siskinfront config diff old.yaml new.yaml\n" +
			"  siskinfront config diff --address 10.0.0.4:7003 --ca-file ca.pem --from 41 --to 42",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 0 && len(args) != 2 {
				return errors.New("config: diff needs two files, or none with --from and --to")
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if len(args) == 2 {
				a, err := readConfiguration(args[0])
				if err != nil {
					return err
				}
				b, err := readConfiguration(args[1])
				if err != nil {
					return err
				}
				return writeDiff(cmd.OutOrStdout(), output, a, b)
			}
			if !cmd.Flags().Changed("from") || !cmd.Flags().Changed("to") {
				return errors.New("config: diff needs --from and --to, or two files")
			}
			client, err := admin.client()
			if err != nil {
				return err
			}
			diff, err := client.Diff(cmd.Context(), from, to)
			if err != nil {
				return err
			}
			return writeDifferences(cmd.OutOrStdout(), output, diff)
		},
	}
	admin.add(cmd)
	cmd.Flags().Uint64Var(&from, "from", 0, "the earlier revision")
	cmd.Flags().Uint64Var(&to, "to", 0, "the later revision")
	addOutputFlag(cmd, &output)
	return cmd
}

func newConfigHistoryCommand() *cobra.Command {
	var admin adminFlags
	var output string
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List who changed what and when, the newest first",
		Example: "  siskinfront config history --address 10.0.0.4:7003 --ca-file ca.pem",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			client, err := admin.client()
			if err != nil {
				return err
			}
			changes, err := client.History(cmd.Context())
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(changes))
			for _, c := range changes {
				rows = append(rows, []string{strconv.FormatUint(c.Revision, 10), c.At.Format(time.RFC3339), c.By, strings.Join(c.Items, " ")})
			}
			return writeRows(cmd.OutOrStdout(), output, changes, []string{"revision", "at", "by", "items"}, rows)
		},
	}
	admin.add(cmd)
	addOutputFlag(cmd, &output)
	return cmd
}
