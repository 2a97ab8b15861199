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
		Usage: "create certificates for the links between entry hosts; creates the certificate authority if the folder has none",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "folder", Usage: "write into `FOLDER`", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`NAME` of the host", Required: true},
			&cli.StringSliceFlag{Name: "address", Usage: "IP `ADDRESS` of the host; may be repeated", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return createKeys(cmd.String("folder"), cmd.String("host"), cmd.StringSlice("address"))
		},
	}
}

func createKeys(folder, host string, addresses []string) error {
	ips := make([]net.IP, len(addresses))
	for i, address := range addresses {
		ips[i] = net.ParseIP(address)
		if ips[i] == nil {
			return trace.BadParameter("%q is not an IP address", address)
		}
	}
	_, err := os.Stat(filepath.Join(folder, persimkeys.AuthorityCert))
	if os.IsNotExist(err) {
		err = persimkeys.CreateAuthority(folder)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = persimkeys.CreateHostCertificate(folder, host, ips)
	return trace.Wrap(err)
}
