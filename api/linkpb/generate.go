// Package linkpb defines the messages on a link between two nodes.
package linkpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative link.proto"
