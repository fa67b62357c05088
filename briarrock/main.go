// Command briarrock is the operator's command line. It needs a connection to only
// one node, which may be any node of the mesh:
//
//	briarrock check mesh.yaml
//	briarrock apply mesh.yaml --wait
//	briarrock status
//
// Every command has --help. Exit codes are for scripts: see exit.go.
package main

import (
	"os"

	"briarrock.example/briarrock/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], command.IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
