// Command generate writes the JSON Schema and the Markdown reference of the settings to files.
package main

import (
	"fmt"
	"os"

	"github.com/radishstand/radishstand/api/settings"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: generate <schema file> <reference file>")
		os.Exit(2)
	}
	for i, data := range [][]byte{settings.JSONSchema(), settings.Reference()} {
		if err := os.WriteFile(os.Args[i+1], data, 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
