#!/usr/bin/env bash
# Generates the Go code of peer.proto. Needs protoc; the plugins are tools of
# the nested module tools.
set -euo pipefail
cd "$(dirname "$0")"
root=$(cd ../../.. && pwd)
(cd "$root/tools" && go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
PATH="$root/bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
