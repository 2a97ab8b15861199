package main

import (
	"context"
	"net"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"persimmonport.example/persimkeys"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "make certificates for the links between entry hosts; makes the authority when the folder has none",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "folder", Usage: "write into `FOLDER`", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`NAME` of the host", Required: true},
			&cli.StringSliceFlag{Name: "address", Usage: "IP `NUMBER` of the host; may be repeated", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return makeKeys(cmd.String("folder"), cmd.String("host"), cmd.StringSlice("address"))
		},
	}
}

func makeKeys(folder, host string, addresses []string) error {
	numbers := make([]net.IP, len(addresses))
	for i, address := range addresses {
		numbers[i] = net.ParseIP(address)
		if numbers[i] == nil {
			return trace.BadParameter("%q is no IP number", address)
		}
	}
	_, err := os.Stat(filepath.Join(folder, persimkeys.AuthorityCert))
	if os.IsNotExist(err) {
		err = persimkeys.MakeAuthority(folder)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = persimkeys.MakeHost(folder, host, numbers)
	return trace.Wrap(err)
}
