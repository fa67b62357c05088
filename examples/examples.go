// Package examples holds the texts and settings that ship with briarrock, one
// folder for each deployment. Each runs with one command:
//
//	go run ./briarrock demo --example quaywell
//	go run ./briarrock demo --example lakeshore
package examples

import "embed"

// Files holds the folders, such as "quaywell/mesh.yaml".
//
//go:embed quaywell lakeshore
var Files embed.FS
